package sillweight

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func testMembers(n int) []Member {
	members := make([]Member, n)
	for i := range members {
		members[i] = Member{Target: sillid.TargetID(fmt.Sprintf("t-%d", i))}
	}
	return members
}

// TestPlanGroupsNest checks that each group of one plan is part of one group of the other
// plan or consists of complete groups of it.
func TestPlanGroupsNest(t *testing.T) {
	tests := []struct {
		name         string
		first, later int
		floors       [2]float64
	}{
		{"same", 720, 720, [2]float64{0.75, 0.75}},
		{"some more", 720, 760, [2]float64{0.75, 0.75}},
		{"some fewer", 720, 700, [2]float64{0.75, 0.75}},
		{"many more", 20, 95, [2]float64{0.5, 0.5}},
		{"many fewer", 95, 20, [2]float64{0.5, 0.5}},
		{"one to many", 1, 30, [2]float64{0.5, 0.2}},
		{"higher floor", 100, 100, [2]float64{0.3, 0.8}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first := NewPlan(nil, Plan{Version: 1}, testMembers(tt.first), tt.floors[0])
			later := NewPlan(&first, Plan{Version: 2}, testMembers(tt.later), tt.floors[1])
			assertOutLimit(t, first, tt.floors[0])
			assertOutLimit(t, later, tt.floors[1])
			assertNested(t, first, later)
		})
	}
}

func assertOutLimit(t *testing.T, p Plan, floor float64) {
	t.Helper()
	if out, limit := p.Groups*(p.MaxFailedPerGroup+1), maxOutOfService(len(p.Members), floor); out > limit {
		t.Errorf("plan allows %d targets out of service, limit %d", out, limit)
	}
}

func assertNested(t *testing.T, first, later Plan) {
	t.Helper()
	old := make(map[sillid.TargetID]int)
	for _, m := range first.Members {
		old[m.Target] = m.Group
	}
	step := min(first.Groups, later.Groups)
	for _, m := range later.Members {
		g, ok := old[m.Target]
		if ok && g%step != m.Group%step {
			t.Errorf("target %s moved from group %d of %d to %d of %d", m.Target, g, first.Groups, m.Group, later.Groups)
		}
	}
	if max(first.Groups, later.Groups)%step != 0 && later.Groups > first.Groups {
		t.Errorf("%d groups do not split into %d", first.Groups, later.Groups)
	}
}

// lastOfGroup returns the Swapper of the last of four targets in one group, which has
// fetched its weights, and the names of the others.
func lastOfGroup(now time.Time) (*Swapper, []sillid.TargetID) {
	plan := Plan{Model: "m", Version: 2, Groups: 1, MaxFailedPerGroup: 1, Members: testMembers(4)}
	s := NewSwapper(Config{Target: "t-3", StatusPollInterval: time.Second}, 1)
	s.Adopt(now, plan)
	s.HandleFetchResult(now, 2, nil)
	return s, []sillid.TargetID{"t-0", "t-1", "t-2"}
}

func TestSwapperWaitsForGroup(t *testing.T) {
	now := time.UnixMilli(600_000_000)
	tests := []struct {
		name   string
		states []State
		ended  []sillid.TargetID
		want   State
	}{
		{"no status received", nil, nil, Waiting},
		{"all done", []State{Done, Done, Done}, nil, Swapping},
		{"one loads", []State{Done, Swapping, Done}, nil, Waiting},
		{"one waits", []State{Done, Done, Waiting}, nil, Waiting},
		{"as many out of service as allowed", []State{OutOfService, Done, Done}, nil, Swapping},
		{"more out of service than allowed", []State{OutOfService, Done, OutOfService}, nil, Waiting},
		{"one of those out of service has ended", []State{OutOfService, Done, OutOfService}, []sillid.TargetID{"t-0"}, Swapping},
		{"one that loads has ended", []State{Swapping, Done, Done}, []sillid.TargetID{"t-0"}, Swapping},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, others := lastOfGroup(now)
			for i, state := range tt.states {
				s.HandleStatus(now, Status{Target: others[i], Version: 2, State: state})
			}
			for _, id := range tt.ended {
				s.HandleMemberEnded(now, id)
			}
			if s.state != tt.want {
				t.Errorf("state %s, want %s", s.state, tt.want)
			}
		})
	}
}

// TestSwapperIgnoresOldStatuses checks that a status has no effect after a later one of
// the same member.
func TestSwapperIgnoresOldStatuses(t *testing.T) {
	now := time.UnixMilli(600_000_000)
	s, others := lastOfGroup(now)
	s.HandleStatus(now, Status{Target: others[0], Version: 3, State: Waiting})
	s.HandleStatus(now, Status{Target: others[0], Version: 2, State: Done})
	s.HandleStatus(now, Status{Target: others[1], Version: 2, State: Done})
	s.HandleStatus(now, Status{Target: others[2], Version: 2, State: Done})
	if s.state != Waiting {
		t.Errorf("state %s after a member's old status, want %s", s.state, Waiting)
	}
}

// TestSwapperOutAdoptsLater checks that a target that the group counts as out of service
// with a later version doesn't serve after the load of an earlier version, but loads the
// later one first.
func TestSwapperOutAdoptsLater(t *testing.T) {
	now := time.UnixMilli(600_000_000)
	plan := Plan{Model: "m", Version: 2, Groups: 1, Members: testMembers(1)}
	s := NewSwapper(Config{Target: "t-0"}, 1)
	s.Adopt(now, plan)
	s.HandleFetchResult(now, 2, nil)
	s.HandleLoadResult(now, 2, errTest)
	plan.Version = 3
	s.Adopt(now, plan)
	s.HandleFetchResult(now, 3, nil)
	plan.Version = 4
	s.Adopt(now, plan)
	assertKinds(t, s.HandleLoadResult(now, 3, nil), FetchStore)
	if s.state != OutOfService {
		t.Errorf("state %s, want %s", s.state, OutOfService)
	}
	assertKinds(t, s.HandleFetchResult(now, 4, nil), Swap)
	assertKinds(t, s.HandleLoadResult(now, 4, nil), Serve)
}

// loadingOutOfService returns a Swapper that reported OutOfService before its engine was
// known, has fetched version 2 and now loads it.
func loadingOutOfService(now time.Time) *Swapper {
	plan := Plan{Model: "m", Version: 2, Groups: 1, MaxFailedPerGroup: 1, Members: testMembers(1)}
	s := NewSwapper(Config{Target: "t-0"}, 1)
	s.MarkOutOfService()
	s.Adopt(now, plan)
	s.HandleFetchResult(now, 2, nil)
	return s
}

func TestSwapperMarkedOutOfService(t *testing.T) {
	now := time.UnixMilli(600_000_000)
	t.Run("a load that fails for good takes the target out", func(t *testing.T) {
		s := loadingOutOfService(now)
		assertKinds(t, s.HandleLoadResult(now, 2, errTest), TakeOutOfService)
	})
	t.Run("a later version whose load fails for good takes the target out", func(t *testing.T) {
		s := loadingOutOfService(now)
		s.Adopt(now, Plan{Model: "m", Version: 3, Groups: 1, MaxFailedPerGroup: 1, Members: testMembers(1)})
		assertKinds(t, s.HandleLoadResult(now, 2, nil), FetchStore)
		assertKinds(t, s.HandleFetchResult(now, 3, nil), Swap)
		assertKinds(t, s.HandleLoadResult(now, 3, errTest), TakeOutOfService)
		assertKinds(t, s.Tick(now.Add(time.Hour)))
	})
	t.Run("an engine that has the version is done", func(t *testing.T) {
		s := NewSwapper(Config{Target: "t-0"}, 2)
		s.MarkOutOfService()
		s.Adopt(now, Plan{Model: "m", Version: 2, Groups: 1, Members: testMembers(1)})
		if s.state != Done {
			t.Errorf("state %s, want %s", s.state, Done)
		}
	})
}
