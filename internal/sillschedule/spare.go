package sillschedule

import (
	"cmp"
	"slices"
)

// JobGroup is a group of a job whose trainer waits for some of its groups only.
type JobGroup struct {
	// Name is unique among the groups of the job.
	Name string
	// Left is the expected work of the unfinished items, and Longest that of the longest of
	// them, in any unit that is the same for the groups.
	Left    float64
	Longest float64
	// Begun is whether a target has begun an item.
	Begun bool
	// Complete is whether all items are complete, and Failed whether one was given up, so that
	// the group can't be complete any more.
	Complete bool
	Failed   bool
	// Returning is whether the trainer waits for this group whichever others are complete.
	Returning bool
}

// begunDiscount is the factor by which the cost of a group is lowered that has begun, so that it
// is not made spare for another of little more value.
const begunDiscount = 0.8

// cost is the expected work of completing the group.
func (g *JobGroup) cost() float64 {
	if g.Begun {
		return begunDiscount * g.Left
	}
	return g.Left
}

// Spare returns the names of the groups of a job, given in the job's order, that its trainer is
// expected not to wait for: it waits for the required number of complete groups, and for those that
// return. The groups with the most work left are spare first; of equal ones, that with the longest
// item, then the last. None is spare if required is 0 or fewer than that many groups can
// still be complete.
func Spare(required int, groups []JobGroup) map[string]bool {
	if required <= 0 {
		return nil
	}
	needed, possible := required, 0
	var open, failed []*JobGroup
	for i := range groups {
		g := &groups[i]
		if !g.Failed {
			possible++
		}
		switch {
		case !g.Failed && (g.Complete || g.Returning):
			needed--
		case g.Returning:
		case g.Failed:
			failed = append(failed, g)
		default:
			open = append(open, g)
		}
	}
	if possible < required {
		return nil
	}
	slices.SortStableFunc(open, func(a, b *JobGroup) int {
		return cmp.Or(cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.Longest, b.Longest))
	})
	spare := make(map[string]bool)
	for _, g := range append(open, failed...)[min(max(needed, 0), len(open)):] {
		spare[g.Name] = true
	}
	return spare
}
