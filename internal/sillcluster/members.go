// Package sillcluster tracks which gateway processes are alive, from the rows that
// they renew in the platform's table.
package sillcluster

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Table is the name of the table with one row per instance. Its partitions are the
// availability zones. Earlier builds wrote their rows to the partition "".
const Table = "gateway-node"

const (
	// RenewEvery is the time between two renewals of a process's row.
	RenewEvery = 500 * time.Millisecond
	// MemberTimeout is how long a row may stay unchanged before its process counts
	// as dead. Two lost renewals are tolerated.
	MemberTimeout = 1700 * time.Millisecond
)

// memberRow is a row with the time of its last known renewal.
type memberRow struct {
	Member
	lastRenewed time.Time
}

// Members holds the known processes. It is safe for concurrent use.
type Members struct {
	// onRow is called with each row that is read.
	onRow func(Member)

	mu   sync.Mutex
	rows map[sillid.InstanceID]memberRow
	// history holds the latest lists of the processes that grant permits, the oldest first.
	history []granterList
}

// NewMembers returns an empty set that passes each row that it gets to onRow. The
// function must not call the set.
func NewMembers(onRow func(Member)) *Members {
	return &Members{onRow: onRow, rows: make(map[sillid.InstanceID]memberRow)}
}

// Reset replaces all rows. Every process gets the full MemberTimeout from now, since
// the time of its last renewal is unknown. Of an instance with rows in two partitions,
// the newer one counts. It returns errors as Apply does.
func (s *Members) Reset(now time.Time, rows []silltable.Row) error {
	s.mu.Lock()
	s.rows = make(map[sillid.InstanceID]memberRow)
	s.mu.Unlock()
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b silltable.Row) int { return cmp.Compare(a.Revision, b.Revision) })
	changes := make([]silltable.Change, len(rows))
	for i, row := range rows {
		changes[i].Row = row
	}
	return s.Apply(now, changes)
}

// Apply applies changes of the table. It skips rows that can't be decoded and
// returns the error of the last of them.
func (s *Members) Apply(now time.Time, changes []silltable.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.recordGranters(now)
	var failure error
	for _, c := range changes {
		instance := instanceOf(c.Row.Key)
		if c.Removed {
			delete(s.rows, instance)
			continue
		}
		m, err := Decode(c.Row)
		if err != nil {
			failure = err
			continue
		}
		known, ok := s.rows[instance]
		sameRun := ok && known.Run == m.Run
		if sameRun && known.Renewal > m.Renewal {
			// A transaction that was delayed has replaced a newer row.
			continue
		}
		s.onRow(m)
		m.CrashEvidence, m.LeavingTargets, m.TargetLimits = nil, nil, nil
		renewed := now
		if sameRun && known.Leaving {
			// A process that is stopping still writes what it learns of targets.
			renewed = known.lastRenewed
		}
		s.rows[instance] = memberRow{Member: m, lastRenewed: renewed}
	}
	return failure
}

// Refresh gives every process the full MemberTimeout from now. It is called after an
// outage of the table, during which no renewals could be read.
func (s *Members) Refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.recordGranters(now)
	for id, m := range s.rows {
		m.lastRenewed = now
		s.rows[id] = m
	}
}

// Alive returns whether a run is known and renewed its row within MemberTimeout.
func (s *Members) Alive(now time.Time, run Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.rows {
		if m.Run == run {
			return now.Sub(m.lastRenewed) < MemberTimeout
		}
	}
	return false
}

// overdueAfter is the time without a renewal after which a process is overdue: one renewal is
// lost, and the next one is late.
const overdueAfter = 1200 * time.Millisecond

// IsOverdue returns whether a run is known and has not renewed its row for overdueAfter.
func (s *Members) IsOverdue(now time.Time, run Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.rows {
		if m.Run == run {
			return now.Sub(m.lastRenewed) >= overdueAfter
		}
	}
	return false
}

// AddressOf returns where other processes reach a run, and false if no row of it is known.
func (s *Members) AddressOf(run Run) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.rows {
		if m.Run == run {
			return m.Address, true
		}
	}
	return "", false
}

// HasRow returns whether the newest known row of an instance is of the run.
func (s *Members) HasRow(run Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.rows {
		if m.Run == run {
			return true
		}
	}
	return false
}

// Live returns the processes that are alive and not leaving, sorted by instance.
func (s *Members) Live(now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []Member
	for _, m := range s.rows {
		if !m.Leaving && now.Sub(m.lastRenewed) < MemberTimeout {
			live = append(live, m.Member)
		}
	}
	slices.SortFunc(live, func(a, b Member) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return live
}

// groupCommitSize is the number of gateways from which an availability zone has another
// leader: a leader receives about three writes a second of each gateway.
const groupCommitSize = 40

// CommitLeader returns the process that commits the rows of a live process with its own,
// and false if there is none. An availability zone has one leader for each
// groupCommitSize of its processes that take part.
func (s *Members) CommitLeader(now time.Time, self sillid.InstanceID) (Member, bool) {
	live := s.Live(now)
	own := slices.IndexFunc(live, func(m Member) bool { return m.Instance == self })
	if own < 0 || !live[own].GroupCommit {
		return Member{}, false
	}
	zone := live[own].Zone
	candidates := slices.DeleteFunc(live, func(m Member) bool { return !m.GroupCommit || m.Zone != zone })
	groups := (len(candidates) + groupCommitSize - 1) / groupCommitSize
	group := silllease.Score("group-commit", sillid.GatewayID(self)) % uint64(groups)
	return first(candidates, fmt.Sprintf("group-commit/%s/%d", zone, group)), true
}

// LastLive returns the processes that were alive and not leaving when the newest row
// was read, in no particular order. It is for calls that must reach them while the
// table is unavailable.
func (s *Members) LastLive() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastLive()
}

// lastLive is LastLive for callers that hold s.mu.
func (s *Members) lastLive() []Member {
	var newest time.Time
	for _, m := range s.rows {
		if m.lastRenewed.After(newest) {
			newest = m.lastRenewed
		}
	}
	var live []Member
	for _, m := range s.rows {
		if !m.Leaving && newest.Sub(m.lastRenewed) < MemberTimeout {
			live = append(live, m.Member)
		}
	}
	return live
}

// knownTimeout is how long a row may stay unchanged before its process counts as gone.
const knownTimeout = time.Minute

// Known returns the processes that renewed their rows within knownTimeout, in no particular
// order. It is for calls that must also reach processes that the table turns away, and those
// that are leaving and still serve.
func (s *Members) Known(now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var known []Member
	for _, m := range s.rows {
		if now.Sub(m.lastRenewed) < knownTimeout {
			known = append(known, m.Member)
		}
	}
	return known
}
