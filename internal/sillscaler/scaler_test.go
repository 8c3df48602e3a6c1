package sillscaler

import (
	"context"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// scenario is a change of demand and the starts and stops that it must cause.
type scenario struct {
	name    string
	before  func(p *platform)
	offered int
	starts  int
	stops   int
	seconds int
}

func scenarios() []scenario {
	fourTargets := func(p *platform) {
		for range 4 {
			p.addMachine()
		}
		p.offered = 20
	}
	return []scenario{
		{"start", func(p *platform) { p.addMachine() }, 20, 3, 0, 60},
		{"stop", fourTargets, 12, 0, 1, 260},
	}
}

func (p *platform) assertOrders(starts, stops int) {
	p.t.Helper()
	if p.starts != starts || p.stops != stops {
		p.t.Errorf("platform ran %d starts and %d stops, want %d and %d", p.starts, p.stops, starts, stops)
	}
}

func TestScaleFollowsDemand(t *testing.T) {
	for _, s := range scenarios() {
		t.Run(s.name, func(t *testing.T) {
			p := newPlatform(t)
			s.before(p)
			p.lag = 20 * time.Second
			p.tick(30 * time.Second)
			p.offered = s.offered
			p.run(p.takeOver(), s.seconds)
			p.assertOrders(s.starts, s.stops)
		})
	}
}

// TestScaleFrozenHolder guards against doubled or late orders of a holder that is
// suspended at any call, before or after its effect, loses its lease to a second
// holder, and resumes after that one has scaled.
func TestScaleFrozenHolder(t *testing.T) {
	for _, s := range scenarios() {
		for _, checks := range []bool{false, true} {
			for call := range 24 {
				t.Run(fmt.Sprintf("%s/checks fencing %v/call %d", s.name, checks, call), func(t *testing.T) {
					scaleFrozenAt(t, s, checks, call)
				})
			}
		}
	}
}

// freezeHook calls freeze at the holder's n-th call to the platform or the table,
// counted from 0 at its first write.
func (p *platform) freezeHook(h *holder, n int, freeze func()) {
	calls := -1
	hook := func(name string) error {
		if !h.active || h.frozen {
			return nil
		}
		if calls < 0 && name != "commit" {
			return nil
		}
		calls++
		if calls == n {
			freeze()
		}
		return nil
	}
	p.call = hook
	p.table.Fault = func(_ context.Context, name string) error { return hook(name) }
}

func scaleFrozenAt(t *testing.T, s scenario, checks bool, call int) {
	p := newPlatform(t)
	p.checksFencing = checks
	s.before(p)
	p.tick(30 * time.Second)
	p.offered = s.offered
	first := p.takeOver()
	var second *holder
	p.freezeHook(first, call, func() {
		first.frozen = true
		p.frozen = first.guard.Epoch
		second = p.takeOver()
		p.run(second, s.seconds)
	})
	p.run(first, s.seconds)
	if second != nil {
		p.run(second, 60)
	}
	p.assertOrders(s.starts, s.stops)
}

// TestScaleLostResponses guards against doubled or missing orders after one call
// fails with an unknown outcome, before or after its effect.
func TestScaleLostResponses(t *testing.T) {
	for _, s := range scenarios() {
		for call := range 24 {
			t.Run(fmt.Sprintf("%s/call %d", s.name, call), func(t *testing.T) {
				p := newPlatform(t)
				s.before(p)
				p.tick(30 * time.Second)
				p.offered = s.offered
				calls := -1
				lose := func(name string) error {
					if calls >= 0 || name == "commit" {
						calls++
					}
					if calls != call {
						return nil
					}
					calls++
					return sillcall.ErrUnknown
				}
				p.call = lose
				p.table.Fault = func(_ context.Context, name string) error {
					if lose(name) != nil {
						return silltable.ErrUnknown
					}
					return nil
				}
				p.run(p.takeOver(), s.seconds+10)
				p.assertOrders(s.starts, s.stops)
			})
		}
	}
}

// TestScaleAgentRestartsBeforeStop guards against a stop that aborts requests: the
// agent reports that it is drained, restarts and accepts requests again before the
// stop is sent.
func TestScaleAgentRestartsBeforeStop(t *testing.T) {
	p := newPlatform(t)
	scenarios()[1].before(p)
	p.tick(30 * time.Second)
	p.offered = 12
	restarts := 0
	p.table.Fault = func(_ context.Context, name string) error {
		for _, m := range p.live() {
			if name == "commit-answer" && m.draining && m.running == 0 && restarts == 0 {
				restarts++
				m.draining, m.running = false, 2
			}
		}
		return nil
	}
	p.run(p.takeOver(), 300)
	if restarts == 0 {
		t.Error("the agent was never restarted")
	}
	p.assertOrders(0, 1)
}

// TestScaleSlowDrain guards against further stops while a target drains slowly.
func TestScaleSlowDrain(t *testing.T) {
	p := newPlatform(t)
	p.drainSeconds = 150
	scenarios()[1].before(p)
	p.tick(30 * time.Second)
	p.offered = 8
	p.run(p.takeOver(), 1500)
	p.assertOrders(0, 2)
}

// TestScaleRandomFaults checks the upper bound and that only drained targets are
// stopped, under random demand, lost responses and changing lease holders.
func TestScaleRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		p := newPlatform(t)
		p.lag = 10 * time.Second
		p.addMachine()
		p.checksFencing = rng.Intn(2) == 0
		p.call = func(string) error {
			if rng.Intn(5) == 0 {
				return sillcall.ErrUnknown
			}
			return nil
		}
		p.table.Fault = func(context.Context, string) error {
			if rng.Intn(5) == 0 {
				return silltable.ErrUnknown
			}
			return nil
		}
		h := p.takeOver()
		for range 20 {
			p.offered = rng.Intn(50)
			p.run(h, 30+rng.Intn(100))
			if rng.Intn(3) == 0 {
				h = p.takeOver()
			}
		}
		p.call = func(string) error { return nil }
		p.table.Fault = nil
		p.offered = 20
		p.run(h, 3000)
		if n := len(p.live()); n < 4 || n > 5 {
			t.Errorf("%d instances, want 4 or 5", n)
		}
		if t.Failed() {
			rt.FailNow()
		}
	})
}

func TestZoneScalerDecide(t *testing.T) {
	start := time.UnixMilli(600_000_000)
	cfg := ZoneConfig{MaxConcurrent: 10, MinTargets: 1, MaxTargets: 8, Utilisation: 0.5}
	input := func(n, running int, asOf time.Time) Input {
		in := Input{Loads: make(map[sillid.TargetID]Load)}
		for i := range n {
			id := fmt.Sprint(i)
			in.Instances = append(in.Instances, sillinstance.Instance{
				ID: sillid.InstanceID(id), Target: sillid.TargetID(id), State: sillinstance.Live,
			})
			in.Loads[sillid.TargetID(id)] = Load{Running: running, AsOf: asOf}
		}
		return in
	}
	tests := []struct {
		name    string
		in      func(now time.Time) Input
		seconds int
		want    []sillorder.Action
	}{
		{"short peak", func(now time.Time) Input { return input(1, 20, now) }, 1, nil},
		{"lasting peak", func(now time.Time) Input { return input(1, 20, now) }, 3, []sillorder.Action{"start", "start", "start"}},
		{"upper bound", func(now time.Time) Input { return input(7, 20, now) }, 3, []sillorder.Action{"start"}},
		{"short drop", func(now time.Time) Input { return input(4, 0, now) }, 100, nil},
		{"lasting drop", func(now time.Time) Input { return input(4, 0, now) }, 181, []sillorder.Action{"stop"}},
		{"lower bound", func(now time.Time) Input { return input(1, 0, now) }, 181, nil},
		{"old reports of a peak", func(time.Time) Input { return input(1, 20, start.Add(-time.Minute)) }, 20, nil},
		{"old reports of a drop", func(time.Time) Input { return input(4, 0, start.Add(-time.Minute)) }, 600, nil},
		{"starts in progress", func(now time.Time) Input {
			in := input(1, 20, now)
			in.Starting = 3
			return in
		}, 10, nil},
		{"below the lower bound", func(now time.Time) Input { return input(0, 0, now) }, 0, []sillorder.Action{"start"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			z := &ZoneScaler{Policy: DefaultPolicy(), Config: cfg}
			var got []Command
			for s := 0; s <= tt.seconds && len(got) == 0; s++ {
				now := start.Add(time.Duration(s) * time.Second)
				got = z.Decide(now, tt.in(now))
			}
			assertActions(t, got, tt.want)
		})
	}
}

func assertActions(t *testing.T, got []Command, want []sillorder.Action) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("commands %v, want %v", got, want)
	}
	for i := range got {
		if got[i].Action != want[i] {
			t.Errorf("command %d is %s, want %s", i, got[i].Action, want[i])
		}
	}
}

func BenchmarkZoneDecide(b *testing.B) {
	now := time.UnixMilli(600_000_000)
	in := Input{Loads: make(map[sillid.TargetID]Load)}
	for i := range 144 {
		id := fmt.Sprint(i)
		in.Instances = append(in.Instances, sillinstance.Instance{
			ID: sillid.InstanceID(id), Target: sillid.TargetID(id), State: sillinstance.Live,
		})
		in.Loads[sillid.TargetID(id)] = Load{Running: 5, AsOf: now}
	}
	z := &ZoneScaler{Policy: DefaultPolicy(), Config: ZoneConfig{MaxConcurrent: 10, MaxTargets: 200, Utilisation: 0.5}}
	for b.Loop() {
		z.Decide(now, in)
	}
}
