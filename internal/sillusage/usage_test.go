package sillusage

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// TestUsageExactUnderRandomFaults runs random actions with lost responses, crashes
// of agents and gateways (never both for one record), and several holders that all
// assume they hold the lease. Actions also run during each other's calls.
func TestUsageExactUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "seed")))
		steps := rapid.IntRange(20, 150).Draw(rt, "steps")
		w := newWorld(t)
		w.gateways = []*testGateway{w.newGateway(), w.newGateway()}
		w.addAgent()
		w.takeOver()
		nested := false
		fault := randomFault(rng)
		w.table.Fault = func(ctx context.Context, call string) error {
			if !nested && rng.Intn(6) == 0 {
				nested = true
				w.randomAction(rng)
				nested = false
			}
			return fault(ctx, call)
		}
		w.billingFault = func(string) error {
			if rng.Intn(3) == 0 {
				return sillcall.ErrUnknown
			}
			return nil
		}
		for range steps {
			w.randomAction(rng)
		}
		w.finish()
		w.assertExact()
		if t.Failed() {
			rt.FailNow()
		}
	})
}

func (w *world) randomAction(rng *rand.Rand) {
	a := w.agents[rng.Intn(len(w.agents))]
	g := w.gateways[rng.Intn(len(w.gateways))]
	h := w.holders[rng.Intn(len(w.holders))]
	switch n := rng.Intn(100); {
	case n < 35 && a.alive:
		org := sillid.OrganisationID(fmt.Sprintf("org-%d", rng.Intn(3)))
		w.serve(a, g, org, rng.Int63n(100))
	case n < 50 && a.alive && !a.busy:
		_ = w.flush(a, false)
	case n < 55:
		w.reportDurable(g)
	case n < 60 && !g.busy:
		w.reportDeaths(g)
		_ = w.writeOrphans(g)
	case n < 75 && !h.busy:
		_ = w.step(h)
	case n < 88:
		w.now = w.now.Add(time.Duration(rng.Intn(40)) * time.Second)
	case n < 91 && len(w.agents) < 6:
		w.addAgent()
	case n < 94 && a.alive && !a.busy && !a.exposed && len(a.flusher.orphans) == 0:
		a.alive = false
	case n < 97 && !g.busy:
		w.killGateway(g)
	case n < 100 && len(w.holders) < 5:
		w.takeOver()
	}
}

// killGateway replaces a gateway unless it has records of dead agents to write. It
// marks the agents whose uncovered records are lost with it as exposed.
func (w *world) killGateway(g *testGateway) {
	w.reportDeaths(g)
	if len(g.backup.dead) > 0 || len(g.backup.unwritten) > 0 {
		return
	}
	for _, a := range w.agents {
		for _, id := range a.names {
			if len(g.backup.kept[id]) > 0 {
				a.exposed = true
			}
		}
	}
	for i := range w.gateways {
		if w.gateways[i] == g {
			w.gateways[i] = w.newGateway()
		}
	}
}

// TestUsageKillAtEachStep kills one process at each call between the count of a
// request and the report of its window, before and after the call's effect.
func TestUsageKillAtEachStep(t *testing.T) {
	for _, victim := range []string{"agent", "gateway", "holder"} {
		for call := range 60 {
			for _, after := range []bool{false, true} {
				name := fmt.Sprintf("%s/call %d/after %v", victim, call, after)
				t.Run(name, func(t *testing.T) { killAt(t, victim, call, after) })
			}
		}
	}
}

var errKilled = errors.New("process killed")

func killAt(t *testing.T, victim string, call int, after bool) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway(), w.newGateway()}
	dying, other := w.addAgent(), w.addAgent()
	holder := w.takeOver()
	current, calls := "", 0
	dead := make(map[string]bool)
	w.table.Fault = func(_ context.Context, kind string) error {
		if current != victim {
			return nil
		}
		if dead[current] {
			return errKilled
		}
		isResponse := kind == "commit-answer"
		if !isResponse {
			calls++
		}
		if calls == call+1 && (isResponse == after || (after && kind != "commit")) {
			dead[current] = true
			return errKilled
		}
		return nil
	}
	as := func(name string, f func()) {
		if !dead[name] {
			current = name
			f()
			current = ""
		}
	}
	for range 16 {
		if !dead["agent"] {
			w.serve(dying, w.gateways[0], "a", 5)
		}
		w.serve(other, w.gateways[1], "b", 6)
		as("agent", func() { _ = w.flush(dying, false) })
		_ = w.flush(other, false)
		if !dead["agent"] {
			w.serve(dying, w.gateways[1], "b", 2)
		}
		if dead["agent"] {
			dying.alive = false
		}
		if dead["gateway"] {
			w.gateways[0] = w.newGateway()
		}
		w.reportDurable(w.gateways[0])
		as("gateway", func() { w.reportDeaths(w.gateways[0]); _ = w.writeOrphans(w.gateways[0]) })
		w.reportDurable(w.gateways[1])
		as("holder", func() { _ = w.step(holder) })
		if dead["holder"] {
			delete(dead, "holder")
			calls = call + 2
			holder = w.takeOver()
		}
		w.now = w.now.Add(15 * time.Second)
	}
	w.finish()
	w.assertExact()
}

// TestUsageOutage guards against wrong reports after a table outage of ten minutes
// that begins at any step; the windows are then closed in order.
func TestUsageOutage(t *testing.T) {
	for start := range 12 {
		t.Run(fmt.Sprintf("from step %d", start), func(t *testing.T) {
			w := newWorld(t)
			w.gateways = []*testGateway{w.newGateway()}
			a := w.addAgent()
			h := w.takeOver()
			step, down := 0, false
			w.table.Fault = func(context.Context, string) error {
				if down {
					return silltable.ErrUnavailable
				}
				return nil
			}
			for step = range 12 + 40 {
				down = step >= start && step < start+40
				w.serve(a, w.gateways[0], "a", 1)
				_ = w.flush(a, false)
				_ = w.step(h)
				w.now = w.now.Add(15 * time.Second)
			}
			w.finish()
			w.assertExact()
		})
	}
}

// TestUsageWronglyDead guards against wrong figures of a live agent that is sealed
// because it can't reach the table.
func TestUsageWronglyDead(t *testing.T) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway()}
	a := w.addAgent()
	h := w.takeOver()
	unreachable := false
	w.table.Fault = func(context.Context, string) error {
		if unreachable {
			return silltable.ErrUnavailable
		}
		return nil
	}
	for i := range 40 {
		w.serve(a, w.gateways[0], "a", 1)
		if i == 20 {
			w.gateways[0].backup.MarkAgentDead(a.names[0])
			_ = w.writeOrphans(w.gateways[0])
		}
		unreachable = i > 5 && i < 30
		_ = w.flush(a, false)
		unreachable = false
		_ = w.step(h)
		w.now = w.now.Add(15 * time.Second)
	}
	if len(a.names) < 2 {
		t.Error("the agent was never sealed")
	}
	w.finish()
	w.assertExact()
}

// TestReporterLeaseLost guards against reports sent without the lease.
func TestReporterLeaseLost(t *testing.T) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway()}
	a := w.addAgent()
	h := w.takeOver()
	h.guard.MayAct = func(time.Time) bool { return false }
	for range 12 {
		w.serve(a, w.gateways[0], "a", 1)
		_ = w.flush(a, false)
		_ = w.step(h)
		w.now = w.now.Add(15 * time.Second)
	}
	if len(w.accepted) != 0 {
		t.Errorf("platform accepted %d reports of a holder without lease", len(w.accepted))
	}
	w.finish()
	w.assertExact()
}
