package sillscaler

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/internal/sillproperty"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestMain(m *testing.M) {
	os.Exit(sillproperty.Run(m, sillproperty.Config{}))
}

const leaseKey = "lease-epoch/scale"

// machine is the actual state of an instance.
type machine struct {
	inst      sillinstance.Instance
	running   int
	draining  bool
	startedAt time.Time
	stoppedAt time.Time
}

// platform simulates the platform: it starts and stops machines and serves a
// delayed instance list.
type platform struct {
	t        testing.TB
	table    sillmemtable.Table
	now      time.Time
	machines []*machine
	orders   map[sillorder.ID]sillorder.Response
	// checksFencing makes the platform reject old fencing numbers.
	checksFencing bool
	highest       sillid.Epoch
	starts        int
	stops         int
	// lag is the age of the list.
	lag time.Duration
	// call is a hook before each call takes effect ("order", "get-order", "list",
	// "drain") and after an order did ("order-answer"). The call returns its error.
	call func(name string) error
	// offered is the demand, spread over the live machines.
	offered int
	config  ZoneConfig
	ids     int
	epochs  sillid.Epoch
	// frozen is the epoch of a suspended holder that has lost its lease; 0 if none.
	frozen sillid.Epoch
	// drainSeconds is the time in which a draining machine completes one request.
	drainSeconds int
	seconds      int
}

func newPlatform(t testing.TB) *platform {
	return &platform{
		t:      t,
		now:    time.UnixMilli(600_000_000),
		orders: make(map[sillorder.ID]sillorder.Response),
		call:   func(string) error { return nil },
		config: ZoneConfig{Pool: "p", Zone: "z", MaxConcurrent: 10, MinTargets: 1, MaxTargets: 8, Utilisation: 0.5},
	}
}

func (p *platform) addMachine() *machine {
	p.ids++
	m := &machine{startedAt: p.now, inst: sillinstance.Instance{
		ID:     sillid.InstanceID(fmt.Sprintf("i-%d", p.ids)),
		Target: sillid.TargetID(fmt.Sprintf("t-%d", p.ids)),
		Pool:   "p", Zone: "z", State: sillinstance.Live,
	}}
	p.machines = append(p.machines, m)
	return m
}

func (p *platform) live() []*machine {
	var ms []*machine
	for _, m := range p.machines {
		if m.stoppedAt.IsZero() {
			ms = append(ms, m)
		}
	}
	return ms
}

func (p *platform) send(_ context.Context, o sillorder.Order, mayAct func() bool) (sillorder.Response, error) {
	if !mayAct() {
		return sillorder.Response{}, sillcall.ErrNotPermitted
	}
	if o.Fencing == p.frozen {
		p.t.Errorf("holder sent order %s after it had lost its lease", o.ID)
	}
	if err := p.call("order"); err != nil {
		return sillorder.Response{}, err
	}
	if p.checksFencing && o.Fencing < p.highest {
		return sillorder.Response{}, sillorder.ErrFenced
	}
	p.highest = max(p.highest, o.Fencing)
	response, known := p.orders[o.ID]
	if !known {
		response = p.apply(o)
		p.orders[o.ID] = response
	}
	return response, p.call("order-answer")
}

func (p *platform) apply(o sillorder.Order) sillorder.Response {
	if o.Action == sillorder.Start {
		p.starts++
		return sillorder.Response{ID: o.ID, Instance: p.addMachine().inst.ID}
	}
	p.stops++
	for _, m := range p.machines {
		if m.inst.ID != o.Instance {
			continue
		}
		if !m.draining || m.running > 0 {
			p.t.Errorf("stop of %s aborted %d requests, draining %v", o.Instance, m.running, m.draining)
		}
		if !m.stoppedAt.IsZero() {
			p.t.Errorf("second stop of %s", o.Instance)
		}
		m.stoppedAt = p.now
	}
	return sillorder.Response{ID: o.ID, Instance: o.Instance}
}

func (p *platform) get(_ context.Context, id sillorder.ID) (sillorder.Response, error) {
	if err := p.call("get-order"); err != nil {
		return sillorder.Response{}, err
	}
	if response, ok := p.orders[id]; ok {
		return response, nil
	}
	return sillorder.Response{}, sillorder.ErrNotFound
}

func (p *platform) list(context.Context) (sillinstance.List, error) {
	if err := p.call("list"); err != nil {
		return sillinstance.List{}, err
	}
	l := sillinstance.List{AsOf: p.now.Add(-p.lag)}
	for _, m := range p.machines {
		if !m.startedAt.After(l.AsOf) && (m.stoppedAt.IsZero() || m.stoppedAt.After(l.AsOf)) {
			l.Instances = append(l.Instances, m.inst)
		}
	}
	return l, nil
}

func (p *platform) drain(_ context.Context, target sillid.TargetID) (bool, error) {
	if err := p.call("drain"); err != nil {
		return false, err
	}
	for _, m := range p.live() {
		if m.inst.Target == target {
			m.draining = true
			return m.running == 0, nil
		}
	}
	return true, nil
}

func (p *platform) demand(sillid.PoolID, sillid.ZoneID) map[sillid.TargetID]Load {
	loads := make(map[sillid.TargetID]Load)
	for _, m := range p.live() {
		loads[m.inst.Target] = Load{Running: m.running, AsOf: p.now}
	}
	return loads
}

// tick advances the clock and spreads the offered demand over the machines that
// aren't draining; each draining one completes a request per drainSeconds ticks.
func (p *platform) tick(d time.Duration) {
	p.now = p.now.Add(d)
	p.seconds++
	var open []*machine
	for _, m := range p.live() {
		if m.draining {
			if p.seconds%max(1, p.drainSeconds) == 0 {
				m.running = max(0, m.running-1)
			}
			continue
		}
		open = append(open, m)
	}
	for i, m := range open {
		m.running = (p.offered + len(open) - 1 - i) / len(open)
	}
}

// holder is a lease holder: a task with its guard. active is true during a step.
type holder struct {
	task   *Task
	guard  silllease.Guard
	active bool
	// frozen is true once a suspended holder has lost its lease; MayAct then
	// returns false.
	frozen bool
}

func (p *platform) takeOver() *holder {
	p.epochs++
	fault := p.table.Fault
	p.table.Fault = nil
	revisions, err := p.table.Store().Commit(context.Background(), silltable.Txn{
		Writes: []silltable.Write{{Key: leaseKey, Value: []byte("x")}},
	})
	p.table.Fault = fault
	if err != nil {
		p.t.Fatal(err)
	}
	h := &holder{}
	h.guard = silllease.Guard{
		Epoch:  p.epochs,
		MayAct: func(time.Time) bool { return !h.frozen },
		Check:  silltable.Check{Key: leaseKey, Revision: revisions[0]},
	}
	h.task = NewTask(TaskConfig{
		Shard: "s", Policy: DefaultPolicy(), Store: p.table.Store(),
		Orders:    &sillorder.Client{Send: p.send, Get: p.get},
		Instances: p.list, Loads: p.demand, Drain: p.drain,
		Zones: func() []ZoneConfig { return []ZoneConfig{p.config} },
		NewID: func() sillorder.ID { p.ids++; return sillorder.ID(fmt.Sprintf("o-%d", p.ids)) },
		Now:   func() time.Time { return p.now },
		// At least the lag of the list in these tests, which is up to 20 s.
		ListLag: 30 * time.Second,
		Logger:  zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	return h
}

func (p *platform) step(h *holder) error {
	h.active = true
	defer func() { h.active = false }()
	return h.task.Step(context.Background(), h.guard)
}

// run takes n steps of a holder, one a second, and checks the upper bound.
func (p *platform) run(h *holder, n int) {
	for range n {
		_ = p.step(h)
		p.tick(time.Second)
		if n := len(p.live()); n > p.config.MaxTargets {
			p.t.Fatalf("%d running instances, the bound is %d", n, p.config.MaxTargets)
		}
	}
}
