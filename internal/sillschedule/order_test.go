package sillschedule

import (
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillproperty"
)

func TestMain(m *testing.M) { os.Exit(sillproperty.Run(m, sillproperty.Config{})) }

var start = time.Unix(1000, 0)

// drawGroups draws groups of jobs submitted up to 20 s ago.
func drawGroups(t *rapid.T, most int) []Group {
	groups := make([]Group, rapid.IntRange(1, most).Draw(t, "groups"))
	for i := range groups {
		submitted := start.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second)
		left := time.Duration(rapid.IntRange(100, 20000).Draw(t, "left")) * time.Millisecond
		groups[i] = Group{
			Name: fmt.Sprint("g", i), Submitted: submitted, Due: submitted.Add(7500 * time.Millisecond), GiveUp: submitted.Add(12 * time.Second),
			Left: left, Longest: left / 8, Waiting: 8, Priority: Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		}
	}
	return groups
}

// TestOrderIsWhole guards against groups without a place and two groups with the same place:
// their items would never run, or in an order that changes all the time.
func TestOrderIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := drawGroups(t, 30)
		places := Order(start, rapid.IntRange(0, 20).Draw(t, "slots"), groups)
		taken := make(map[int]bool)
		for _, g := range groups {
			p, ok := places[g.Name]
			if !ok || taken[p.Rank] || p.Rank < 0 || p.Rank >= len(groups) {
				t.Fatalf("group %s has the place %+v of %d", g.Name, p, len(groups))
			}
			taken[p.Rank] = true
		}
	})
}

// inOrder returns the groups of a standing in their order.
func inOrder(groups []Group, places map[string]Place, s Standing) []*Group {
	byRank := make([]*Group, len(groups))
	for i := range groups {
		byRank[places[groups[i].Name].Rank] = &groups[i]
	}
	var list []*Group
	for _, g := range byRank {
		if places[g.Name].Standing == s {
			list = append(list, g)
		}
	}
	return list
}

// TestOnlyGroupsThatDoNotFitYield guards against a group that is delayed although it would be
// complete in time beside those that go before it, and against a promise to more groups than
// the slots can complete.
func TestOnlyGroupsThatDoNotFitYield(t *testing.T) {
	due := func(g *Group) time.Time { return g.Due }
	rapid.Check(t, func(t *rapid.T) {
		groups := drawGroups(t, 20)
		for i := range groups {
			groups[i].Submitted = start // No group is served out of turn.
		}
		l := &line{now: start, slots: rapid.IntRange(1, 20).Draw(t, "slots")}
		places := Order(start, l.slots, groups)
		inTime := inOrder(groups, places, InTime)
		if !l.feasible(inTime, due) {
			t.Fatal("the groups that count as in time can't be")
		}
		for i := range groups {
			if places[groups[i].Name].Standing == InTime {
				continue
			}
			for at := range len(inTime) + 1 {
				with := append(append(append([]*Group{}, inTime[:at]...), &groups[i]), inTime[at:]...)
				if l.feasible(with, due) {
					t.Fatalf("group %s yields, but fits at place %d", groups[i].Name, at)
				}
			}
		}
	})
}

// TestMostGroupsInTime compares with all choices: of groups of the same credit, no choice
// completes more in time.
func TestMostGroupsInTime(t *testing.T) {
	due := func(g *Group) time.Time { return g.Due }
	rapid.Check(t, func(t *rapid.T) {
		groups := drawGroups(t, 8)
		sorted := make([]*Group, len(groups))
		for i := range groups {
			groups[i].Priority, groups[i].Longest = 0, 0
			groups[i].Submitted = start
			sorted[i] = &groups[i]
		}
		l := &line{now: start, slots: rapid.IntRange(1, 8).Draw(t, "slots")}
		most := 0
		for set := range 1 << len(sorted) {
			var chosen []*Group
			for i, g := range sorted {
				if set>>i&1 == 1 {
					chosen = append(chosen, g)
				}
			}
			sortGroups(chosen, l.byLimit(due))
			if l.feasible(chosen, due) {
				most = max(most, len(chosen))
			}
		}
		if got := len(inOrder(groups, Order(start, l.slots, groups), InTime)); got != most {
			t.Fatalf("%d groups in time, %d are possible", got, most)
		}
	})
}

// TestLongWaitEnds guards against a group that is always overtaken by groups of newer jobs.
func TestLongWaitEnds(t *testing.T) {
	old := Group{Name: "old", Submitted: start.Add(-LongWait), Due: start.Add(-10 * time.Second), GiveUp: start.Add(-5 * time.Second), Left: time.Minute, Longest: time.Minute, Waiting: 8}
	groups := []Group{old}
	for i := range 20 {
		groups = append(groups, Group{Name: fmt.Sprint("new", i), Submitted: start, Due: start.Add(7 * time.Second), Left: time.Second, Longest: time.Second, Waiting: 8})
	}
	if p := Order(start, 64, groups)["old"]; p.Rank != 0 || !p.Guaranteed || p.Standing != Lost {
		t.Errorf("a group that waits for long has the place %+v, want the first", p)
	}
	groups[1].Submitted, groups[1].Running, groups[1].Waiting = old.Submitted, 8, 0
	if p := Order(start, 64, groups)["old"]; p.Guaranteed {
		t.Error("groups that wait for long get more than their guaranteed share of the slots")
	}
}

func TestNearlyCompleteGroupsGoFirst(t *testing.T) {
	var groups []Group
	for i := range 10 {
		left := time.Duration(10-i) * time.Second
		groups = append(groups, Group{Name: fmt.Sprint(i), Submitted: start, Due: start.Add(7500 * time.Millisecond), GiveUp: start.Add(12 * time.Second), Left: left, Longest: time.Second, Waiting: 1})
	}
	places := Order(start, 4, groups)
	for i := range 9 {
		if places[fmt.Sprint(i)].Rank < places[fmt.Sprint(i+1)].Rank {
			t.Errorf("a group with %v left goes before one with %v", groups[i].Left, groups[i+1].Left)
		}
	}
	if p := places["0"]; p.Standing == InTime {
		t.Errorf("the largest group has the place %+v in %v of work for 4 slots", p, 55*time.Second)
	}
}
