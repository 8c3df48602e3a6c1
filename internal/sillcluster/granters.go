package sillcluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// granters returns the processes that grant permits, as of the newest row, sorted by
// instance.
func (s *Members) granters() []Member { return grantersAmong(s.LastLive()) }

func grantersAmong(list []Member) []Member {
	list = slices.DeleteFunc(list, func(m Member) bool { return !m.GrantsPermits })
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return list
}

// FirstGranter returns the process with rank 0 for a name among those that grant permits,
// and false if none is known. While the table is unavailable, the processes that were alive
// before keep their ranks.
func (s *Members) FirstGranter(name string) (Member, bool) {
	list := s.granters()
	if len(list) == 0 {
		return Member{}, false
	}
	return first(list, name), true
}

// GranterIndex returns the index of an instance among the processes that grant permits and
// their number; 0 and 0 if it is none of them.
func (s *Members) GranterIndex(self sillid.InstanceID) (index, count int) {
	list := s.granters()
	i := slices.IndexFunc(list, func(m Member) bool { return m.Instance == self })
	if i < 0 {
		return 0, 0
	}
	return i, len(list)
}

const (
	// settleTime is how long the first granter stays the same until each process that reads
	// the rows has learned of it. A process learns of a row, and of one that is no longer
	// renewed, up to two ages of a current view later than another one.
	settleTime = 4 * time.Second
	// maxGranterLists bounds the lists that are kept. With more changes within settleTime,
	// none is settled.
	maxGranterLists = 64
)

// granterList holds the processes that grant permits from a time on.
type granterList struct {
	from time.Time
	list []Member
}

// recordGranters records the list of granters if it has changed. The caller holds s.mu.
func (s *Members) recordGranters(now time.Time) {
	list := grantersAmong(s.lastLive())
	if n := len(s.history); n > 0 && slices.EqualFunc(s.history[n-1].list, list, ranksAlike) {
		return
	}
	s.history = append(s.history, granterList{from: now, list: list})
	// A list counts until the next one replaces it.
	for len(s.history) > 1 && (now.Sub(s.history[1].from) >= settleTime || len(s.history) > maxGranterLists) {
		s.history = s.history[1:]
	}
}

// ranksAlike returns whether two rows give a process the same rank.
func ranksAlike(a, b Member) bool {
	return a.Run == b.Run && a.Instance == b.Instance && a.Capacity == b.Capacity
}

// IsSettledGranter returns whether a run has been the first granter for a name for settleTime.
func (s *Members) IsSettledGranter(now time.Time, name string, run Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.history) == 0 || now.Sub(s.history[0].from) < settleTime {
		return false
	}
	for i, h := range s.history {
		replaced := i+1 < len(s.history) && now.Sub(s.history[i+1].from) >= settleTime
		if !replaced && (len(h.list) == 0 || first(h.list, name).Run != run) {
			return false
		}
	}
	return true
}
