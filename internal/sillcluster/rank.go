package sillcluster

import (
	"math"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Rank returns the rank that an instance has or would have among the live ones for a
// name, and whether it is live.
func (s *Members) Rank(now time.Time, name string, self sillid.InstanceID) (int, bool) {
	return s.RankAmong(now, name, self, nil)
}

// RankAmong is Rank among the processes that keep accepts; nil accepts all. An instance that
// is not accepted is not live.
func (s *Members) RankAmong(now time.Time, name string, self sillid.InstanceID, keep func(Member) bool) (int, bool) {
	live := s.liveAmong(now, keep)
	own, found := Member{Instance: self}, false
	if i := slices.IndexFunc(live, func(m Member) bool { return m.Instance == self }); i >= 0 {
		own, found = live[i], true
	}
	rank := 0
	for _, m := range live {
		if isAhead(name, m, own) {
			rank++
		}
	}
	return rank, found
}

func (s *Members) liveAmong(now time.Time, keep func(Member) bool) []Member {
	live := s.Live(now)
	if keep == nil {
		return live
	}
	return slices.DeleteFunc(live, func(m Member) bool { return !keep(m) })
}

// First returns the live process with rank 0 for a name, and false if no process
// is live.
func (s *Members) First(now time.Time, name string) (Member, bool) {
	return s.FirstAmong(now, name, nil)
}

// FirstAmong is First among the processes that keep accepts; nil accepts all.
func (s *Members) FirstAmong(now time.Time, name string, keep func(Member) bool) (Member, bool) {
	live := s.liveAmong(now, keep)
	if len(live) == 0 {
		return Member{}, false
	}
	return first(live, name), true
}

// first returns the member with rank 0 for a name; there must be one member at least.
func first(members []Member, name string) Member {
	best := members[0]
	for _, m := range members[1:] {
		if isAhead(name, m, best) {
			best = m
		}
	}
	return best
}

// isAhead returns whether a ranks before b for a name, by weighted rendezvous hashing:
// every process with the same rows computes the same order, and a process that leaves
// changes only the ranks behind its own.
func isAhead(name string, a, b Member) bool {
	priorityA, priorityB := priority(name, a), priority(name, b)
	if priorityA != priorityB {
		return priorityA > priorityB
	}
	return a.Instance > b.Instance
}

const (
	// unknownCapacity stands for the capacity of processes that tell none.
	unknownCapacity = 0.5
	// capacityExponent makes processes of small instances rarely the first: the
	// work that goes to one process can need more than a small instance has.
	capacityExponent = 3
)

// priority returns the place of a member in the order for a name; the highest comes first.
func priority(name string, m Member) float64 {
	capacity := m.Capacity
	if capacity <= 0 {
		capacity = unknownCapacity
	}
	hash := silllease.Score(name, sillid.GatewayID(m.Instance))
	uniform := (float64(hash) + 0.5) / (1 << 64)
	return math.Pow(capacity, capacityExponent) / -math.Log(uniform)
}
