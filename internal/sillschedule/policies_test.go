package sillschedule

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func sortGroups(groups []*Group, order func(a, b *Group) int) { slices.SortFunc(groups, order) }

// The load: three trainers, each with its own owner, submit a job every 4 s. Items of two of
// them take longer than those of the third. Some of the engines are lost for a while.
const (
	loadSlots     = 41 * 8
	lostFrom      = 20 * time.Second
	lostUntil     = 27 * time.Second
	loadTime      = 60 * time.Second
	stepEvery     = 4 * time.Second
	stepDue       = 7500 * time.Millisecond
	stepGiveUp    = 12 * time.Second
	groupsOfStep  = 27
	itemsOfGroup  = 8
	lengthSpread  = 0.4
	estimateError = 0.3
	loadTick      = 50 * time.Millisecond
)

type loadItem struct {
	took, estimate time.Duration
	startedAt      time.Duration
	state          int // 0 waits, 1 runs, 2 is complete
}

type loadGroup struct {
	name      string
	owner     int
	submitted time.Duration
	priority  Priority
	items     []*loadItem
	doneAt    time.Duration
}

// recordLoad returns the groups of all jobs, in the order of their submission.
func recordLoad() []*loadGroup {
	rng := rand.New(rand.NewPCG(5, 6))
	var groups []*loadGroup
	for step := time.Duration(0); step < loadTime-stepGiveUp; step += stepEvery {
		for owner, mean := range []time.Duration{1900 * time.Millisecond, 1900 * time.Millisecond, 1300 * time.Millisecond} {
			for g := range groupsOfStep {
				group := &loadGroup{name: fmt.Sprintf("%03d-%d-%02d", step/time.Second, owner, g), owner: owner, submitted: step, priority: Priority(owner / 2)}
				for range itemsOfGroup {
					factor := math.Exp(lengthSpread*rng.NormFloat64() - lengthSpread*lengthSpread/2)
					took := time.Duration(factor * float64(mean))
					group.items = append(group.items, &loadItem{took: took, estimate: time.Duration(float64(took) * math.Exp(estimateError*rng.NormFloat64()))})
				}
				groups = append(groups, group)
			}
		}
	}
	return groups
}

func slotsAt(at time.Duration, lost float64) int {
	if at >= lostFrom && at < lostUntil {
		return int(loadSlots * (1 - lost))
	}
	return loadSlots
}

// view returns what the decisions know of a group.
func (g *loadGroup) view(at time.Duration) Group {
	v := Group{
		Name: g.name, Submitted: start.Add(g.submitted), Due: start.Add(g.submitted + stepDue),
		GiveUp: start.Add(g.submitted + stepGiveUp), Priority: g.priority,
	}
	for _, it := range g.items {
		left := it.estimate
		switch it.state {
		case 0:
			v.Waiting++
		case 1:
			v.Running++
			left = max(it.estimate-(at-it.startedAt), it.estimate/8)
		default:
			continue
		}
		v.Left += left
		v.Longest = max(v.Longest, left)
	}
	return v
}

// policy returns the groups in the order in which they get slots.
type policy func(now time.Time, slots int, groups []Group) []Group

func sortedBy(order func(a, b Group) int) policy {
	return func(_ time.Time, _ int, groups []Group) []Group {
		slices.SortStableFunc(groups, order)
		return groups
	}
}

func oldestFirst(a, b Group) int {
	return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Left, b.Left))
}

// fair gives the next slot to the jobs that use the fewest.
func fair(_ time.Time, _ int, groups []Group) []Group {
	inUse := make(map[string]int)
	job := func(g Group) string { return g.Name[:5] }
	for _, g := range groups {
		inUse[job(g)] += g.Running
	}
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Or(cmp.Compare(a.Left, b.Left), cmp.Compare(a.Name, b.Name)) })
	var sorted []Group
	for len(groups) > 0 {
		next := 0
		for i := range groups {
			if inUse[job(groups[i])] < inUse[job(groups[next])] {
				next = i
			}
		}
		inUse[job(groups[next])] += max(groups[next].Waiting, 1)
		sorted = append(sorted, groups[next])
		groups = slices.Delete(groups, next, next+1)
	}
	return sorted
}

func valueDensity(now time.Time, _ int, groups []Group) []Group {
	credit := func(g Group) float64 {
		switch {
		case now.Before(g.Due):
			return inTimeCredit
		case now.Before(g.GiveUp):
			return lateCredit
		}
		return 0
	}
	slices.SortStableFunc(groups, func(a, b Group) int { return cmp.Compare(b.density(credit(b)), a.density(credit(a))) })
	return groups
}

func estimatedFinish(now time.Time, slots int, groups []Group) []Group {
	places := Order(now, slots, groups)
	slices.SortFunc(groups, func(a, b Group) int { return cmp.Compare(places[a.Name].Rank, places[b.Name].Rank) })
	return groups
}

// earned is the share of the credit that a load has earned.
type earned struct {
	all, disturbed, high, low float64
	inTime, late, lost        int
}

// playLoad plays the load under a policy. Waiting items of a job are removed when its trainer
// gives up.
func playLoad(p policy, lost float64) earned {
	groups := recordLoad()
	byName := make(map[string]*loadGroup)
	for _, g := range groups {
		byName[g.name] = g
	}
	for at := time.Duration(0); at < loadTime; at += loadTick {
		running := 0
		var open []Group
		for _, g := range groups {
			if g.submitted > at || g.doneAt > 0 || at-g.submitted > stepGiveUp+4*time.Second {
				continue
			}
			waiting, unfinished := false, false
			for _, it := range g.items {
				if it.state == 1 && at-it.startedAt >= it.took {
					it.state = 2
				}
				if it.state == 1 {
					running++
				}
				waiting = waiting || it.state == 0
				unfinished = unfinished || it.state != 2
			}
			if !unfinished {
				g.doneAt = at
			}
			if unfinished && at-g.submitted < stepGiveUp {
				open = append(open, g.view(at))
			}
		}
		slots := slotsAt(at, lost)
		if running >= slots || len(open) == 0 {
			continue
		}
		for _, v := range p(start.Add(at), slots, open) {
			items := slices.Clone(byName[v.Name].items)
			slices.SortStableFunc(items, func(a, b *loadItem) int { return cmp.Compare(b.estimate, a.estimate) })
			for _, it := range items {
				if it.state == 0 && running < slots {
					it.state, it.startedAt = 1, at
					running++
				}
			}
		}
	}
	return sumUp(groups)
}

func sumUp(groups []*loadGroup) earned {
	var e earned
	var count, disturbed, high, low float64
	for _, g := range groups {
		credit := 0.0
		switch took := g.doneAt - g.submitted + finishMargin; {
		case g.doneAt == 0 || took > stepGiveUp:
			e.lost++
		case took <= stepDue:
			credit = 1
			e.inTime++
		default:
			credit = lateCredit / inTimeCredit
			e.late++
		}
		e.all, count = e.all+credit, count+1
		if g.submitted >= lostFrom-stepDue && g.submitted < lostUntil+stepDue {
			e.disturbed, disturbed = e.disturbed+credit, disturbed+1
			if g.priority == 0 {
				e.high, high = e.high+credit, high+1
			} else {
				e.low, low = e.low+credit, low+1
			}
		}
	}
	e.all, e.disturbed, e.high, e.low = e.all/count, e.disturbed/disturbed, e.high/high, e.low/low
	return e
}

var policies = []struct {
	name string
	policy
}{
	{"oldest job first", sortedBy(oldestFirst)},
	{"strict priority", sortedBy(func(a, b Group) int { return cmp.Or(cmp.Compare(a.Priority, b.Priority), oldestFirst(a, b)) })},
	{"weighted fair queueing", fair},
	{"earliest deadline", sortedBy(func(a, b Group) int {
		return cmp.Or(a.Due.Add(-a.Longest).Compare(b.Due.Add(-b.Longest)), cmp.Compare(a.Left, b.Left))
	})},
	{"value density", valueDensity},
	{"estimated finish", estimatedFinish},
}

// TestPolicies compares the policies on one load, while a share of the slots is lost for 7 s.
func TestPolicies(t *testing.T) {
	for _, lost := range []float64{0, 0.4, 0.7} {
		best, own, oldest := 0.0, 0.0, 0.0
		for _, p := range policies {
			e := playLoad(p.policy, lost)
			t.Logf("%.0f %% lost, %-22s: earned %.3f, in the disturbance %.3f (priority 0 %.3f, 1 %.3f); groups in time %d, late %d, lost %d",
				100*lost, p.name, e.all, e.disturbed, e.high, e.low, e.inTime, e.late, e.lost)
			best = max(best, e.all)
			switch p.name {
			case "estimated finish":
				own = e.all
			case "oldest job first":
				oldest = e.all
			}
		}
		if own < oldest || own < 0.97*best {
			t.Errorf("%.0f %% lost: the order earns %.3f, the oldest job first %.3f, the best policy %.3f", 100*lost, own, oldest, best)
		}
	}
}
