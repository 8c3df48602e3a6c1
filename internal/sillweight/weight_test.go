package sillweight

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// rolloutTimeLimit is the time in which a version must reach all of 720 targets.
const rolloutTimeLimit = 7 * time.Second

// plannedCosts returns the costs that rolloutTimeLimit assumes.
func plannedCosts() costs {
	return costs{
		spread:  1500 * time.Millisecond,
		store:   300 * time.Millisecond,
		peer:    200 * time.Millisecond,
		load:    400 * time.Millisecond,
		message: 2 * time.Millisecond,
	}
}

func (w *network) count(state State, v sillid.WeightVersion) int {
	n := 0
	for id, s := range w.nodes {
		if !w.ended[id] && s.state == state && s.plan.Version == v {
			n++
		}
	}
	return n
}

func TestRolloutReachesAllInTime(t *testing.T) {
	for _, floor := range []float64{0.5, 0.75} {
		t.Run(fmt.Sprint("floor ", floor), func(t *testing.T) {
			const targets = 720
			w, members := newNetwork(t, 1, targets, floor, plannedCosts())
			w.announce(NewPlan(nil, Plan{Model: "m", Version: 1}, members, floor))
			start := w.now
			for end := start.Add(rolloutTimeLimit); w.now.Before(end) && w.count(Done, 1) < targets; {
				w.run(50 * time.Millisecond)
			}
			t.Logf("%s until all targets serve the version, at most %d of %d out of service", w.now.Sub(start), w.maxOut, targets)
			if n := w.count(Done, 1); n != targets {
				t.Errorf("%d of %d targets serve the version after %s", n, targets, rolloutTimeLimit)
			}
			if w.storeFetches > Seeds {
				t.Errorf("%d fetches from the store, want at most %d", w.storeFetches, Seeds)
			}
		})
	}
}

// TestRolloutKeepsFloor checks that the serving floor holds with lost and late messages,
// failed loads, targets that end, and versions that replace each other during a rollout.
func TestRolloutKeepsFloor(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(rt, "targets")
		floor := rapid.Float64Range(0, 0.95).Draw(rt, "floor")
		c := plannedCosts()
		c.message = time.Duration(rapid.IntRange(1, 400).Draw(rt, "message-ms")) * time.Millisecond
		c.loss = rapid.Float64Range(0, 0.5).Draw(rt, "loss")
		c.failure = rapid.SampledFrom([]float64{0, 0.1, 0.6}).Draw(rt, "failure")
		versions := rapid.IntRange(1, 4).Draw(rt, "versions")
		deaths := rapid.IntRange(0, 3).Draw(rt, "deaths")
		w, members := newNetwork(rt, rapid.Int64().Draw(rt, "seed"), n, floor, c)
		var plan *Plan
		for v := range versions {
			if v > 0 {
				for range min(deaths, len(members)-1) {
					w.kill(members[w.rng.Intn(len(members))].Target)
				}
				members = w.addMembers(members, 1+w.rng.Intn(n))
				floor = w.rng.Float64()
				w.outLimit = max(w.outLimit, maxOutOfService(len(members), floor))
			}
			next := NewPlan(plan, Plan{Model: "m", Version: sillid.WeightVersion(v + 1)}, members, floor)
			plan = &next
			w.announce(next)
			w.run(w.randomUpTo(3 * time.Second))
		}
		for range min(deaths, len(members)-1) {
			w.kill(members[w.rng.Intn(len(members))].Target)
		}
		for tries := 0; tries < 100 && len(w.unsettled(*plan)) > 0; tries++ {
			w.run(10 * time.Second)
		}
		if left := w.unsettled(*plan); len(left) > 0 {
			rt.Errorf("targets without the version at the end: %v", left)
		}
	})
}

// unsettled returns the live targets that neither serve the version nor are out of
// service, except those of groups with more than MaxFailedPerGroup failures.
func (w *network) unsettled(p Plan) []sillid.TargetID {
	failed := make(map[int]int)
	for _, m := range p.Members {
		if !w.ended[m.Target] && w.nodes[m.Target].state == OutOfService {
			failed[m.Group]++
		}
	}
	var left []sillid.TargetID
	for _, m := range p.Members {
		s := w.nodes[m.Target]
		if w.ended[m.Target] || s.state == OutOfService || failed[m.Group] > p.MaxFailedPerGroup {
			continue
		}
		if s.state != Done || s.loadedVersion != p.Version {
			left = append(left, m.Target)
		}
	}
	return left
}

func TestSwapFailures(t *testing.T) {
	now := time.UnixMilli(600_000_000)
	cfg := Config{Target: "t", Retries: 2, RetryDelay: time.Second, StatusPollInterval: time.Second}
	s := NewSwapper(cfg, 1)
	plan := NewPlan(nil, Plan{Model: "m", Version: 2}, []Member{{Target: "t"}}, 0.5)
	assertKinds(t, s.Adopt(now, plan), FetchStore)
	assertKinds(t, s.HandleFetchResult(now, 2, nil), Swap)
	for range 2 {
		assertKinds(t, s.HandleLoadResult(now, 2, errTest))
		now = now.Add(time.Second)
		assertKinds(t, s.Tick(now), Swap)
	}
	assertKinds(t, s.HandleLoadResult(now, 2, errTest), TakeOutOfService)
	assertKinds(t, s.Tick(now.Add(time.Hour)))
	plan.Version = 3
	assertKinds(t, s.Adopt(now, plan), FetchStore)
	assertKinds(t, s.HandleFetchResult(now, 3, nil), Swap)
	assertKinds(t, s.HandleLoadResult(now, 3, nil), Serve)
	assertKinds(t, s.Adopt(now, Plan{Version: 2}))
}

func assertKinds(t *testing.T, got []Command, want ...CommandKind) {
	t.Helper()
	var kinds []CommandKind
	for _, c := range got {
		kinds = append(kinds, c.Kind)
	}
	if fmt.Sprint(kinds) != fmt.Sprint(want) {
		t.Errorf("commands %v, want %v", kinds, want)
	}
}

func publish(store *silltable.Store, v sillid.WeightVersion, hash string) error {
	_, err := Publish(context.Background(), PublishConfig{Store: store, Model: "m", Version: v, Hash: hash})
	return err
}

func assertProblem(t *testing.T, err error, kind sillproblem.Kind, outcome sillproblem.Outcome) {
	t.Helper()
	var p *sillproblem.Problem
	if !errors.As(err, &p) || p.Kind != kind || p.Outcome != outcome {
		t.Errorf("error %v, want %s, %s", err, kind, outcome)
	}
}

func TestPublish(t *testing.T) {
	var table sillmemtable.Table
	store := table.Store()
	if err := publish(store, 5, "a"); err != nil {
		t.Fatal(err)
	}
	assertProblem(t, publish(store, 5, "a"), sillproblem.VersionStale, sillproblem.NotRun)
	assertProblem(t, publish(store, 4, "b"), sillproblem.VersionStale, sillproblem.NotRun)
	calls := 0
	table.Fault = func(_ context.Context, call string) error {
		if call == "commit-answer" && calls == 0 {
			calls++
			return silltable.ErrUnknown
		}
		return nil
	}
	if err := publish(store, 6, "c"); err != nil {
		t.Errorf("publish whose response is lost: %v", err)
	}
	table.Fault = func(context.Context, string) error { return silltable.ErrUnavailable }
	assertProblem(t, publish(store, 7, "d"), sillproblem.StoreUnavailable, sillproblem.NotRun)
}

// TestPublishOvertaken checks that an earlier version is refused if a later one is
// published between its read and its commit.
func TestPublishOvertaken(t *testing.T) {
	var table sillmemtable.Table
	calls := 0
	table.Fault = func(_ context.Context, call string) error {
		if call != "commit" {
			return nil
		}
		calls++
		if calls == 1 {
			return publish(table.Store(), 9, "later")
		}
		return nil
	}
	assertProblem(t, publish(table.Store(), 8, "earlier"), sillproblem.VersionStale, sillproblem.NotRun)
	plan, _, err := Read(context.Background(), table.Store(), "m")
	if err != nil || plan.Version != 9 {
		t.Errorf("version %d, error %v; want 9", plan.Version, err)
	}
}

func TestPublishRace(t *testing.T) {
	var table sillmemtable.Table
	const publishers = 10
	errs := make([]error, publishers)
	var wg sync.WaitGroup
	for i := range publishers {
		wg.Go(func() { errs[i] = publish(table.Store(), 1, fmt.Sprint(i)) })
	}
	wg.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		assertProblem(t, err, sillproblem.VersionStale, sillproblem.NotRun)
	}
	if won != 1 {
		t.Errorf("%d publishers won, want 1", won)
	}
}

func BenchmarkTick(b *testing.B) {
	now := time.UnixMilli(600_000_000)
	members := make([]Member, 720)
	for i := range members {
		members[i] = Member{Target: sillid.TargetID(fmt.Sprintf("t-%d", i))}
	}
	plan := NewPlan(nil, Plan{Model: "m", Version: 1}, members, 0.75)
	s := NewSwapper(Config{Target: plan.Members[700].Target, StatusPollInterval: time.Second}, 0)
	s.Adopt(now, plan)
	s.HandleFetchResult(now, 1, nil)
	for b.Loop() {
		s.Tick(now)
	}
}

func TestReadVersionMatchesPlan(t *testing.T) {
	var table sillmemtable.Table
	store := table.Store()
	for _, want := range []sillid.WeightVersion{0, 3, 7} {
		if want > 0 {
			if _, err := Publish(t.Context(), PublishConfig{Store: store, Model: "m", Version: want}); err != nil {
				t.Fatal(err)
			}
		}
		plan, _, err := Read(t.Context(), store, "m")
		if err != nil {
			t.Fatal(err)
		}
		got, err := ReadVersion(t.Context(), store, "m")
		if err != nil || got != want || plan.Version != want {
			t.Errorf("version %d, plan %d (%v), want %d", got, plan.Version, err, want)
		}
	}
}
