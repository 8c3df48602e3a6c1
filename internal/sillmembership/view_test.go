package sillmembership

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func instance(id string) Instance {
	return Instance{
		ID:     sillid.InstanceID("i-" + id),
		Target: sillid.TargetID(id),
		Pool:   "p",
		Zone:   "z0",
	}
}

func heartbeat(id string, agent sillid.AgentID, sequence uint64) Heartbeat {
	return Heartbeat{Instance: instance(id), Agent: agent, Sequence: sequence, Phase: PhaseServing}
}

func newTestView() *View {
	return NewView(Config{Gateway: "g", Zone: "z0"})
}

func checkState(t *testing.T, v *View, now time.Time, want State) {
	t.Helper()
	if got := v.State(now, "t"); got != want {
		t.Errorf("State() = %s, want %s", got, want)
	}
	routable := len(v.Routable(now, "p")) > 0
	if routable != (want == Serving) {
		t.Errorf("routable = %v in state %s", routable, want)
	}
}

func TestViewStates(t *testing.T) {
	after := func(d time.Duration) time.Time { return epoch.Add(d) }
	t.Run("listed but silent", func(t *testing.T) {
		v := newTestView()
		v.ApplyList(epoch, []Instance{instance("t")})
		checkState(t, v, epoch, Connecting)
		v.Heartbeat(epoch, heartbeat("t", "a", 1))
		checkState(t, v, after(3*time.Second), Serving)
		v.ApplyList(after(4*time.Second), []Instance{instance("t")})
		checkState(t, v, after(4*time.Second), Suspect)
		v.Heartbeat(after(5*time.Second), heartbeat("t", "a", 2))
		checkState(t, v, after(5*time.Second), Serving)
	})
	t.Run("listed, never reached", func(t *testing.T) {
		v := newTestView()
		v.ApplyList(epoch, []Instance{instance("t")})
		for range pathFailures {
			v.PathFailed("t")
		}
		checkState(t, v, epoch, Suspect)
	})
	t.Run("broken path until the next heartbeat", func(t *testing.T) {
		v := newTestView()
		v.Heartbeat(epoch, heartbeat("t", "a", 1))
		for range pathFailures {
			v.PathFailed("t")
		}
		checkState(t, v, epoch, Suspect)
		v.Heartbeat(epoch, heartbeat("t", "a", 2))
		checkState(t, v, epoch, Serving)
	})
	t.Run("silent towards the agent", func(t *testing.T) {
		v := newTestView()
		h := heartbeat("t", "a", 1)
		h.GatewaySilence = 4 * time.Second
		v.Heartbeat(epoch, h)
		checkState(t, v, epoch, Suspect)
	})
	t.Run("leaving by the list", func(t *testing.T) {
		v := newTestView()
		v.Heartbeat(epoch, heartbeat("t", "a", 1))
		leaving := instance("t")
		leaving.Leaving = true
		v.ApplyList(epoch, []Instance{leaving})
		checkState(t, v, epoch, Draining)
		successor := heartbeat("t", "b", 1)
		successor.Instance.ID = "i-successor"
		v.Heartbeat(epoch, successor)
		checkState(t, v, epoch, Serving)
	})
	t.Run("leaving by its own notice", func(t *testing.T) {
		v := newTestView()
		h := heartbeat("t", "a", 2)
		h.Phase = PhaseLeaving
		v.Heartbeat(epoch, h)
		v.Heartbeat(epoch, heartbeat("t", "a", 1))
		v.Heartbeat(epoch, heartbeat("t", "a", 3))
		checkState(t, v, epoch, Draining)
	})
	t.Run("late heartbeat of the same agent", func(t *testing.T) {
		v := newTestView()
		h := heartbeat("t", "a", 2)
		h.Phase = PhaseDraining
		v.Heartbeat(epoch, h)
		v.Heartbeat(epoch, heartbeat("t", "a", 1))
		checkState(t, v, epoch, Draining)
		v.Heartbeat(epoch, heartbeat("t", "a", 3))
		checkState(t, v, epoch, Serving)
	})
	t.Run("late heartbeat of a former agent", func(t *testing.T) {
		v := newTestView()
		h := heartbeat("t", "a", 1)
		v.Heartbeat(epoch, h)
		next := heartbeat("t", "b", 1)
		next.Phase = PhaseDraining
		v.Heartbeat(epoch, next)
		v.Heartbeat(epoch, heartbeat("t", "a", 9))
		checkState(t, v, epoch, Draining)
	})
	t.Run("unlisted but alive, and found again", func(t *testing.T) {
		v := newTestView()
		v.Heartbeat(epoch, heartbeat("t", "a", 1))
		v.ApplyList(epoch, nil)
		checkState(t, v, epoch, Serving)
		v.ApplyList(after(time.Minute), nil)
		checkState(t, v, after(time.Minute), Suspect)
		if got := len(v.Wanted(after(time.Minute), nil)); got != 1 {
			t.Errorf("%d agents wanted, want 1 that is still dialled", got)
		}
		v.Heartbeat(after(time.Minute), heartbeat("t", "a", 2))
		checkState(t, v, after(time.Minute), Serving)
		v.ApplyList(after(time.Hour), nil)
		checkState(t, v, after(time.Hour), Removed)
	})
}

// fleet holds gateways and agents. The subset tests use about the numbers expected in
// two years.
type fleet struct {
	gateways []Gateway
	agents   []Instance
}

func newFleet(gateways, agents, zones int) fleet {
	var f fleet
	zone := func(i int) sillid.ZoneID { return sillid.ZoneID(fmt.Sprintf("z%d", i%zones)) }
	for i := range gateways {
		f.gateways = append(f.gateways, Gateway{ID: sillid.GatewayID(fmt.Sprintf("g%d", i)), Zone: zone(i)})
	}
	for i := range agents {
		a := instance(fmt.Sprintf("t%d", i))
		a.Zone = zone(i)
		f.agents = append(f.agents, a)
	}
	return f
}

// wanted returns each gateway's subset.
func (f fleet) wanted() map[sillid.GatewayID]map[sillid.TargetID]bool {
	subsets := make(map[sillid.GatewayID]map[sillid.TargetID]bool)
	for _, g := range f.gateways {
		v := NewView(Config{Gateway: g.ID, Zone: g.Zone})
		v.SetGateways(f.gateways)
		v.ApplyList(epoch, f.agents)
		subsets[g.ID] = make(map[sillid.TargetID]bool)
		for _, p := range v.Wanted(epoch, nil) {
			subsets[g.ID][p.Target] = true
		}
	}
	return subsets
}

func TestSubsetsAreEvenAndBounded(t *testing.T) {
	f := newFleet(410, 720, 5)
	cover := make(map[sillid.TargetID]int)
	for g, subset := range f.wanted() {
		if len(subset) < DefaultSubset || len(subset) > DefaultSubset+4 {
			t.Errorf("%s uses %d agents, want 24 to 28", g, len(subset))
		}
		for target := range subset {
			cover[target]++
		}
	}
	lowest, highest := 1<<30, 0
	for _, a := range f.agents {
		lowest = min(lowest, cover[a.Target])
		highest = max(highest, cover[a.Target])
	}
	t.Logf("gateways at an agent: %d to %d", lowest, highest)
	if highest-lowest > 4 {
		t.Errorf("agents have %d to %d gateways, want a spread of at most 4", lowest, highest)
	}
}

func TestSubsetsChangeLittle(t *testing.T) {
	before := newFleet(410, 720, 5)
	for _, tc := range []struct {
		name  string
		after fleet
	}{
		{"agent removed", fleet{before.gateways, before.agents[1:]}},
		{"gateway removed", fleet{before.gateways[1:], before.agents}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			checkChanges(t, before.wanted(), tc.after.wanted())
		})
	}
}

func checkChanges(t *testing.T, before, after map[sillid.GatewayID]map[sillid.TargetID]bool) {
	t.Helper()
	most, sum := 0, 0
	for g, subset := range after {
		fresh := 0
		for target := range subset {
			if !before[g][target] {
				fresh++
			}
		}
		most = max(most, fresh)
		sum += fresh
	}
	t.Logf("new agents for a gateway: at most %d, %.2f on average", most, float64(sum)/float64(len(after)))
	if most > 6 {
		t.Errorf("a gateway connects to %d new agents, want at most 6 of 24", most)
	}
}

// If a whole zone is unreachable, the gateway gets a complete subset in the other
// zones.
func TestSubsetReplacesSuspects(t *testing.T) {
	v := NewView(Config{Gateway: "g", Zone: "z0"})
	f := newFleet(1, 120, 3)
	v.ApplyList(epoch, f.agents)
	for _, a := range f.agents {
		if a.Zone == "z0" {
			for range pathFailures {
				v.PathFailed(a.Target)
			}
		}
	}
	if usable := countUsable(v.Wanted(epoch, nil)); usable < DefaultSubset {
		t.Errorf("%d usable agents in the subset, want at least %d", usable, DefaultSubset)
	}
}

func BenchmarkWanted(b *testing.B) {
	v := NewView(Config{Gateway: "g0", Zone: "z0"})
	f := newFleet(410, 720, 5)
	v.SetGateways(f.gateways)
	v.ApplyList(epoch, f.agents)
	for b.Loop() {
		v.Wanted(epoch, nil)
	}
}
