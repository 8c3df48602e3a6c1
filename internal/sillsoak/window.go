package sillsoak

import (
	"slices"
	"time"
)

// MostWithin returns the most of some times that lie in a window of some length which begins
// at one of them, and not before from.
func MostWithin(times []time.Time, window time.Duration, from time.Time) int {
	sorted := slices.DeleteFunc(slices.Clone(times), func(t time.Time) bool { return t.Before(from) })
	slices.SortFunc(sorted, time.Time.Compare)
	most, first := 0, 0
	for i, at := range sorted {
		for at.Sub(sorted[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// LimitBound is the users' bound on requests to a target that names a limit: from Stable after
// it first did, it gets in Window no more than one and a half times what the limit allows, and
// 5 requests.
type LimitBound struct {
	Stable time.Duration
	Window time.Duration
}

// Allowed returns the most requests in a window under a limit, in requests a second.
func (b LimitBound) Allowed(perSecond float64) int {
	const factor, slack = 1.5, 5
	return int(factor*perSecond*b.Window.Seconds()) + slack
}

// Most returns the most requests in a window, from the times of the requests and the time at
// which the limit was first named.
func (b LimitBound) Most(requests []time.Time, named time.Time) int {
	return MostWithin(requests, b.Window, named.Add(b.Stable))
}
