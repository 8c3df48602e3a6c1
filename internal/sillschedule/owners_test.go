package sillschedule

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// The age of what an owner knows: free slots from reports of targets, and the demand of other
// owners from rows.
const (
	reportAge = 200 * time.Millisecond
	rowAge    = 500 * time.Millisecond
)

// ownerView is an owner of the jobs of one model in a load whose slots are shared.
type ownerView struct {
	id        int
	allotment Allotment
	free      int
	demands   []Demand
}

// sharedLoad plays the load with one owner for each model. Items that find no free slot queue at
// the engines in order of arrival.
type sharedLoad struct {
	policy  policy
	shares  bool
	lost    float64
	groups  []*loadGroup
	owners  []*ownerView
	queue   []*loadItem
	running []*loadItem
}

func (s *sharedLoad) play() earned {
	s.groups = recordLoad()
	for i := range 3 {
		s.owners = append(s.owners, &ownerView{id: i})
	}
	for at := time.Duration(0); at < loadTime; at += loadTick {
		s.advance(at)
		for _, o := range s.owners {
			if at%reportAge == 0 {
				o.free = max(slotsAt(at, s.lost)-len(s.running)-len(s.queue), 0)
			}
			if at%rowAge == 0 {
				o.demands = s.demands(at)
			}
		}
		for _, o := range s.owners {
			s.dispatch(at, o)
		}
	}
	return sumUp(s.groups)
}

// advance completes items and starts those that queue.
func (s *sharedLoad) advance(at time.Duration) {
	s.running = slices.DeleteFunc(s.running, func(it *loadItem) bool {
		if at-it.startedAt < it.took {
			return false
		}
		it.state = 2
		return true
	})
	for len(s.queue) > 0 && len(s.running) < slotsAt(at, s.lost) {
		s.queue[0].startedAt = at
		s.running = append(s.running, s.queue[0])
		s.queue = s.queue[1:]
	}
	for _, g := range s.groups {
		if g.doneAt == 0 && g.submitted <= at && !slices.ContainsFunc(g.items, func(it *loadItem) bool { return it.state != 2 }) {
			g.doneAt = at
		}
	}
}

// open returns the unfinished groups of an owner that its trainer still waits for.
func (s *sharedLoad) open(at time.Duration, owner int) []*loadGroup {
	var open []*loadGroup
	for _, g := range s.groups {
		if g.owner == owner && g.submitted <= at && g.doneAt == 0 && at-g.submitted < stepGiveUp {
			open = append(open, g)
		}
	}
	return open
}

func (s *sharedLoad) demands(at time.Duration) []Demand {
	var demands []Demand
	for owner := range 3 {
		d := Demand{Owner: fmt.Sprint(owner)}
		for _, g := range s.open(at, owner) {
			v := g.view(at)
			d.Items += v.Waiting + v.Running
			d.Weight += float64(v.Waiting+v.Running) * Worth(start.Add(at), v.Due, v.GiveUp)
		}
		if d.Items > 0 {
			demands = append(demands, d)
		}
	}
	return demands
}

func (s *sharedLoad) dispatch(at time.Duration, o *ownerView) {
	var views []Group
	byName := make(map[string]*loadGroup)
	running := 0
	for _, g := range s.open(at, o.id) {
		v := g.view(at)
		running += v.Running
		views = append(views, v)
		byName[v.Name] = g
	}
	allowed, slots := o.free, slotsAt(at, s.lost)
	if s.shares {
		slots = Share(slots, o.demands, fmt.Sprint(o.id))
		allowed = min(allowed, o.allotment.Allow(start.Add(at), slots, running, o.free))
	}
	if allowed <= 0 {
		return
	}
	for _, v := range s.policy(start.Add(at), max(slots, 1), views) {
		items := slices.Clone(byName[v.Name].items)
		slices.SortStableFunc(items, func(a, b *loadItem) int { return cmp.Compare(b.estimate, a.estimate) })
		for _, it := range items {
			if it.state == 0 && allowed > 0 {
				it.state, it.startedAt = 1, at
				s.queue = append(s.queue, it)
				allowed--
				o.free--
			}
		}
	}
}

// TestOwnersOfOnePool compares owners that take all free slots that they see with owners that
// keep to shares, on what they know of the pool and of each other.
func TestOwnersOfOnePool(t *testing.T) {
	for _, lost := range []float64{0, 0.4, 0.7} {
		play := func(name string, p policy, shares bool) earned {
			e := (&sharedLoad{policy: p, shares: shares, lost: lost}).play()
			t.Logf("%.0f %% lost, %s: earned %.3f, in the disturbance %.3f (long items %.3f, others %.3f); groups in time %d, late %d, lost %d",
				100*lost, name, e.all, e.disturbed, e.high, e.low, e.inTime, e.late, e.lost)
			return e
		}
		before := play("oldest job first, all free slots", sortedBy(oldestFirst), false)
		play("oldest job first, shares", sortedBy(oldestFirst), true)
		play("estimated finish, all free slots", estimatedFinish, false)
		after := play("estimated finish, shares", estimatedFinish, true)
		if after.all < before.all {
			t.Errorf("%.0f %% lost: shares and the order by estimated finish earn %.3f, less than %.3f before", 100*lost, after.all, before.all)
		}
	}
}

// borrowInterval is the time between two loans of slots beyond an owner's share. Other owners
// learn of free slots within it, and those that are below their share take them first.
const borrowInterval = 100 * time.Millisecond

// Allotment is a policy that is compared: it bounds the slots that an owner takes of a pool that is short of them.
type Allotment struct {
	lastBorrowed time.Time
}

// Allow returns how many more items the owner may start, of which it runs some now. Slots that
// stay free are lent to it beyond its share little by little, so that none is left idle because
// another owner is gone or its rows are old.
func (a *Allotment) Allow(now time.Time, share, running, free int) int {
	if below := share - running; below > 0 {
		a.lastBorrowed = now
		return below
	}
	if free <= 0 || now.Sub(a.lastBorrowed) < borrowInterval {
		return 0
	}
	a.lastBorrowed = now
	return int(math.Ceil(guaranteedShare * float64(free)))
}
