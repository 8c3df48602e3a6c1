package sillschedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Demand is what one owner of jobs could use of a pool.
type Demand struct {
	Owner string
	// Items is the number of unfinished items.
	Items int
	// Weight is the worth of the items in sum.
	Weight float64
}

// Worth returns the worth of an unfinished item by the times that are left to its job.
func Worth(now, due, giveUp time.Time) float64 {
	switch {
	case due.IsZero() || now.Before(due):
		return 1
	case giveUp.IsZero() || now.Before(giveUp):
		return lateCredit / inTimeCredit
	}
	return guaranteedShare
}

// Share returns the number of slots of a pool that an owner may use, in proportion to the
// weights of the demands. No owner gets more than its items; what it leaves is divided among
// the others. Each owner with an item gets a slot at least.
func Share(slots int, demands []Demand, owner string) int {
	open := slices.Clone(demands)
	slices.SortFunc(open, func(a, b Demand) int {
		// The owner that needs the fewest slots for its weight is satisfied first.
		return cmp.Or(cmp.Compare(float64(a.Items)*b.Weight, float64(b.Items)*a.Weight), cmp.Compare(a.Owner, b.Owner))
	})
	weights := 0.0
	for _, d := range open {
		weights += d.Weight
	}
	left := float64(slots)
	for _, d := range open {
		share := 0.0
		if weights > 0 {
			share = min(left*d.Weight/weights, float64(d.Items))
		}
		if d.Owner == owner {
			return min(max(int(math.Ceil(share)), 1), d.Items)
		}
		left, weights = left-share, weights-d.Weight
	}
	return 0
}
