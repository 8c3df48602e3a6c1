package sillcluster

import (
	"cmp"
	"slices"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// granters returns the processes that grant permits, as of the newest row, sorted by
// instance.
func (s *Members) granters() []Member {
	list := slices.DeleteFunc(s.LastLive(), func(m Member) bool { return !m.GrantsPermits })
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
