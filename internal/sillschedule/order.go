package sillschedule

import (
	"cmp"
	"slices"
	"time"
)

// Group is a group of items of a job, which is of use to the trainer as a whole.
type Group struct {
	// Name is unique among the groups that are ordered together; it breaks ties.
	Name string
	// Due is when the group must be complete to be worth its full credit, and GiveUp when
	// it is worth a smaller credit; zero for no such time.
	Due    time.Time
	GiveUp time.Time
	// Submitted is when the group's job was submitted.
	Submitted time.Time
	Priority  Priority
	// Left is the time of a slot that the unfinished items still need, and Longest that of
	// the longest of them.
	Left    time.Duration
	Longest time.Duration
	// Waiting and Running are the numbers of items without and with a slot.
	Waiting int
	Running int
}

// Standing is what a group is expected to earn.
type Standing int

const (
	// InTime groups are expected to be complete when they are due.
	InTime Standing = iota
	// Late groups are expected to be complete before they are given up.
	Late
	// Lost groups are expected to be complete only after that.
	Lost
)

// String returns the name of the standing in logs and metrics.
func (s Standing) String() string {
	switch s {
	case Late:
		return "late"
	case Lost:
		return "lost"
	case InTime:
	}
	return "in-time"
}

// Place is the place of a group in the order.
type Place struct {
	// Rank is the place, from 0; groups of lower ranks get slots first.
	Rank     int
	Standing Standing
	// Guaranteed is whether the group is served out of turn, since it waited for long.
	Guaranteed bool
}

const (
	// inTimeCredit and lateCredit are what a group earns that is complete when it is due,
	// and one that is complete before it is given up.
	inTimeCredit = 4
	lateCredit   = 1.5
	// finishMargin is the time from the end of a generation until its result is listed: the
	// score request and the write.
	finishMargin = 300 * time.Millisecond
	// longestOptimism and workOptimism are the shares of the estimates that decide whether a
	// group yields. The longest of several estimates is too high on average, and a group that
	// yields in error loses more than one that is run in vain.
	longestOptimism = 0.8
	workOptimism    = 0.9
	// minLeft is the least work of a group that a density is computed with.
	minLeft = 10 * time.Millisecond
	// LongWait is the time since its job's submission after which a group is served out of
	// turn. Trainers have given up by then in normal operation, so only work without such a
	// limit reaches it.
	LongWait = 15 * time.Second
)

// density is the credit that a slot earns in a second with the group's work.
func (g *Group) density(credit float64) float64 {
	return credit * g.Priority.Worth() / max(g.Left, minLeft).Seconds()
}

// byLimit orders groups by when the last of their work must start to be complete before a
// limit, those without one last, then by priority, then the least work first. If any order keeps all limits,
// this one does.
func (l *line) byLimit(limit func(*Group) time.Time) func(a, b *Group) int {
	return func(a, b *Group) int {
		return cmp.Or(compareLimits(l.startLimit(limit(a), a), l.startLimit(limit(b), b)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Left, b.Left), a.Submitted.Compare(b.Submitted), cmp.Compare(a.Name, b.Name))
	}
}

// startLimit returns the limit less the time that the longest item takes beyond the time in
// which all slots do the group's work.
func (l *line) startLimit(limit time.Time, g *Group) time.Time {
	if limit.IsZero() {
		return limit
	}
	return limit.Add(-max(longest(g)-l.duration(g.Left), 0))
}

// duration returns the time that the slots take for some work.
func (l *line) duration(work time.Duration) time.Duration {
	return time.Duration(workOptimism * float64(work) / float64(l.slots))
}

func longest(g *Group) time.Duration { return time.Duration(longestOptimism * float64(g.Longest)) }

func compareLimits(a, b time.Time) int {
	switch {
	case a.IsZero() && b.IsZero():
		return 0
	case a.IsZero():
		return 1
	case b.IsZero():
		return -1
	}
	return a.Compare(b)
}

// Order returns the place of each group by its name, for a number of slots that they share.
//
// Groups that can be complete when they are due come first, those first that must start first.
// As long as they can't all be, the one that earns least for its work yields: it is delayed
// behind the rest. The groups that yield are ordered in the same way for the smaller credit, and those
// that can't earn that either come last.
func Order(now time.Time, slots int, groups []Group) map[string]Place {
	all := make([]*Group, len(groups))
	for i := range groups {
		all[i] = &groups[i]
	}
	line := &line{now: now, slots: max(slots, 1)}
	inTime, rest := line.admit(all, inTimeCredit-lateCredit, func(g *Group) time.Time { return g.Due })
	late, lost := line.admit(rest, lateCredit, func(g *Group) time.Time { return g.GiveUp })
	slices.SortFunc(lost, func(a, b *Group) int {
		return cmp.Or(cmp.Compare(b.density(lateCredit), a.density(lateCredit)), a.Submitted.Compare(b.Submitted), cmp.Compare(a.Name, b.Name))
	})
	places := make(map[string]Place, len(groups))
	overdue := longestWaiting(now, max(slots, 1), all)
	if overdue != nil {
		places[overdue.Name] = Place{Guaranteed: true}
	}
	for standing, part := range [][]*Group{InTime: inTime, Late: late, Lost: lost} {
		for _, g := range part {
			if g == overdue {
				p := places[g.Name]
				p.Standing = Standing(standing)
				places[g.Name] = p
				continue
			}
			places[g.Name] = Place{Rank: len(places), Standing: Standing(standing)}
		}
	}
	return places
}

// longestWaiting returns the group of the oldest job that waits for longer than LongWait, or
// nil if there is none or such groups have their guaranteed share of the slots.
func longestWaiting(now time.Time, slots int, groups []*Group) *Group {
	var oldest *Group
	inUse := 0
	for _, g := range groups {
		if now.Sub(g.Submitted) < LongWait {
			continue
		}
		inUse += g.Running
		if g.Waiting == 0 {
			continue
		}
		if oldest == nil || cmp.Or(g.Submitted.Compare(oldest.Submitted), cmp.Compare(g.Left, oldest.Left), cmp.Compare(g.Name, oldest.Name)) < 0 {
			oldest = g
		}
	}
	if float64(inUse) >= guaranteedShare*float64(slots) {
		return nil
	}
	return oldest
}

// line is the work that is placed before further groups.
type line struct {
	now   time.Time
	slots int
	// ahead is the work of the groups that are placed.
	ahead time.Duration
}

// finish returns when a group is expected to be complete behind some work.
func (l *line) finish(ahead time.Duration, g *Group) time.Time {
	return l.now.Add(l.duration(ahead) + max(longest(g), l.duration(g.Left)) + finishMargin)
}

// admit divides groups into those that can be complete before a limit, in the order of
// byLimit, and the rest. If a group can't be, the admitted one with the lowest density up to it
// yields, which keeps the earned credit highest (Moore and Hodgson's rule with weights).
func (l *line) admit(groups []*Group, credit float64, limit func(*Group) time.Time) (admitted, rest []*Group) {
	sorted := slices.Clone(groups)
	slices.SortFunc(sorted, l.byLimit(limit))
	ahead := l.ahead
	for _, g := range sorted {
		if !limit(g).IsZero() && l.finish(l.ahead, g).After(limit(g)) {
			rest = append(rest, g)
			continue
		}
		admitted = append(admitted, g)
		for !limit(g).IsZero() && l.finish(ahead, g).After(limit(g)) {
			i := lowestDensity(admitted, credit)
			yielding := admitted[i]
			rest = append(rest, yielding)
			admitted = slices.Delete(admitted, i, i+1)
			if yielding == g {
				break
			}
			ahead -= yielding.Left
		}
		if len(admitted) > 0 && admitted[len(admitted)-1] == g {
			ahead += g.Left
		}
	}
	admitted, rest = l.fill(admitted, rest, credit, limit)
	for _, g := range admitted {
		l.ahead += g.Left
	}
	return admitted, rest
}

// fill admits groups of the rest that fit beside the admitted ones, the highest density first:
// a large group that yielded may have left room for several small ones.
func (l *line) fill(admitted, rest []*Group, credit float64, limit func(*Group) time.Time) (more, remaining []*Group) {
	slices.SortStableFunc(rest, func(a, b *Group) int { return cmp.Compare(b.density(credit), a.density(credit)) })
	order := l.byLimit(limit)
	for _, g := range rest {
		i, _ := slices.BinarySearchFunc(admitted, g, order)
		with := slices.Insert(slices.Clone(admitted), i, g)
		if l.feasible(with, limit) {
			admitted = with
		} else {
			remaining = append(remaining, g)
		}
	}
	return admitted, remaining
}

// feasible returns whether groups can be complete before their limits in the given order.
func (l *line) feasible(groups []*Group, limit func(*Group) time.Time) bool {
	ahead := l.ahead
	for _, g := range groups {
		if !limit(g).IsZero() && l.finish(ahead, g).After(limit(g)) {
			return false
		}
		ahead += g.Left
	}
	return true
}

// lowestDensity returns the index of the group that earns least for its work; of equal ones,
// the last.
func lowestDensity(groups []*Group, credit float64) int {
	lowest := 0
	for i, g := range groups {
		if g.density(credit) <= groups[lowest].density(credit) {
			lowest = i
		}
	}
	return lowest
}
