package sillusage

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// cycle flushes every agent and takes a step of the holder, n times 15 s apart.
func (w *world) cycle(h *testHolder, n int) {
	for range n {
		for _, a := range w.agents {
			_ = w.flush(a, false)
		}
		_ = w.step(h)
		w.now = w.now.Add(15 * time.Second)
	}
}

// TestUsageFrozenHolder guards against changes and reports of a holder that is
// suspended at any of its calls and resumes after a second holder replaced it.
func TestUsageFrozenHolder(t *testing.T) {
	for _, agentDies := range []bool{false, true} {
		for call := range 40 {
			t.Run(fmt.Sprintf("agent dies %v/call %d", agentDies, call), func(t *testing.T) {
				frozenAt(t, call, agentDies)
			})
		}
	}
}

func frozenAt(t *testing.T, call int, agentDies bool) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway()}
	a, b := w.addAgent(), w.addAgent()
	first := w.takeOver()
	frozen, calls := false, 0
	first.guard.MayAct = func(time.Time) bool { return !frozen }
	acceptedOfFirst := 0
	w.billingFault = func(kind string) error {
		if frozen && first.busy && !w.holders[len(w.holders)-1].busy && kind == "send" {
			acceptedOfFirst++
		}
		return nil
	}
	w.table.Fault = func(context.Context, string) error {
		if !first.busy || frozen {
			return nil
		}
		calls++
		if calls == call+1 {
			frozen = true
			w.serve(b, w.gateways[0], "late", 9)
			w.cycle(w.takeOver(), 12)
		}
		return nil
	}
	for i := range 12 {
		w.serve(a, w.gateways[0], "a", 1)
		if i == 3 && agentDies {
			w.serve(b, w.gateways[0], "b", 1)
			b.alive = false
			w.reportDeaths(w.gateways[0])
			_ = w.writeOrphans(w.gateways[0])
		}
		if b.alive {
			_ = w.flush(b, false)
		}
		_ = w.flush(a, false)
		_ = w.step(first)
		w.now = w.now.Add(15 * time.Second)
	}
	if acceptedOfFirst > 0 {
		t.Errorf("platform accepted %d reports of a replaced holder", acceptedOfFirst)
	}
	b.alive = true
	w.finish()
	w.assertExact()
}

// TestUsageFlushDuringSeal guards against lost records of an agent that flushes
// between the closer's read and its seal.
func TestUsageFlushDuringSeal(t *testing.T) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway()}
	a := w.addAgent()
	h := w.takeOver()
	w.serve(a, w.gateways[0], "a", 1)
	_ = w.flush(a, false)
	w.table.Fault = func(_ context.Context, call string) error {
		if call == "commit" && h.busy && !a.busy {
			_ = w.flush(a, false)
		}
		return nil
	}
	for range 12 {
		w.serve(a, w.gateways[0], "a", 1)
		_ = w.step(h)
		w.now = w.now.Add(15 * time.Second)
	}
	w.finish()
	w.assertExact()
}

// TestMeterClockStepsBack guards against lost records after the clock stepped back
// into a window for which a flush has promised no further records.
func TestMeterClockStepsBack(t *testing.T) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway()}
	a := w.addAgent()
	h := w.takeOver()
	for range 10 {
		_ = w.flush(a, false)
		_ = w.step(h)
		w.now = w.now.Add(-90 * time.Second)
		w.serve(a, w.gateways[0], "a", 1)
		w.now = w.now.Add(120 * time.Second)
	}
	w.finish()
	w.assertExact()
}

// TestReporterLeaseEndsBeforeSend guards against a report that is sent although the
// lease ended while the call waited for its connection.
func TestReporterLeaseEndsBeforeSend(t *testing.T) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway()}
	a := w.addAgent()
	h := w.takeOver()
	checks := 0
	h.guard.MayAct = func(time.Time) bool { checks++; return checks%2 == 1 }
	w.serve(a, w.gateways[0], "a", 1)
	w.cycle(h, 12)
	if checks == 0 || len(w.accepted) != 0 {
		t.Errorf("platform accepted %d reports after the lease ended, %d lease checks", len(w.accepted), checks)
	}
	w.finish()
	w.assertExact()
}
