package sillusage

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// plannedAgents and writeBudget are the expected number of agents in two years and
// the table writes per second that they may cause.
const (
	plannedAgents = 720
	writeBudget   = 60.0
)

// TestUsageWriteBudget guards against too many table writes: it counts the calls of
// all agents and of the closer over ten minutes at the default flush interval.
func TestUsageWriteBudget(t *testing.T) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway()}
	for range plannedAgents {
		w.addAgent()
	}
	h := w.takeOver()
	for _, a := range w.agents {
		_ = w.flush(a, false)
	}
	calls := make(map[string]int)
	w.table.Fault = func(_ context.Context, call string) error {
		calls[call]++
		return nil
	}
	const rounds = 40
	for range rounds {
		for i, a := range w.agents {
			w.serve(a, w.gateways[0], sillid.OrganisationID(fmt.Sprint("org-", i%8)), 1)
			_ = w.flush(a, false)
		}
		_ = w.step(h)
		w.now = w.now.Add(DefaultFlushInterval)
	}
	seconds := (rounds * DefaultFlushInterval).Seconds()
	writes := float64(calls["commit"]) / seconds
	reads := float64(calls["get"]+calls["list"]) / seconds
	t.Logf("%.1f writes and %.1f reads a second at %d agents", writes, reads, plannedAgents)
	if writes >= writeBudget {
		t.Errorf("%.1f writes a second, the budget is %.0f", writes, writeBudget)
	}
}

func BenchmarkSum(b *testing.B) {
	v := view{agents: make(map[sillid.AgentID]agentState)}
	for i := range plannedAgents {
		a := agentState{}
		for org := range 40 {
			a.Totals = append(a.Totals, totalRow{Organisation: sillid.OrganisationID(fmt.Sprint(org))})
		}
		v.agents[sillid.AgentID(fmt.Sprint(i))] = a
	}
	for b.Loop() {
		v.sum()
	}
}

func BenchmarkMeterAdd(b *testing.B) {
	m := NewMeter(MeterConfig{Agent: "a", WindowLength: time.Minute})
	now := time.UnixMilli(600_000_000)
	for b.Loop() {
		m.markDurable(m.Add(now, "org", "route", Figures{Requests: 1}).Sequence)
	}
}
