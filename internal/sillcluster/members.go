// Package sillcluster knows which gateway processes run, from the rows that
// they renew in the platform's table.
package sillcluster

import (
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Table holds one row for each instance; the row's key is the instance.
const Table = "gateway-node"

const (
	// RenewEvery is the time between two renewals of a process's row.
	RenewEvery = 500 * time.Millisecond
	// MemberTimeout is how long a row may stay as it is before its process counts as
	// gone: two renewals may be lost.
	MemberTimeout = 1700 * time.Millisecond
)

// Run names one run of a gateway process. It is fresh at every start.
type Run string

// Member is what a process says of itself.
type Member struct {
	Instance sillid.InstanceID `cbor:"instance"`
	Run      Run               `cbor:"run"`
	// Address is where other gateways reach the process.
	Address string        `cbor:"address"`
	Zone    sillid.ZoneID `cbor:"zone"`
	// Leaving processes take no new work.
	Leaving bool `cbor:"leaving"`
	// PoolLoads is what the process has at the targets of pools whose number follows
	// their load.
	PoolLoads []PoolLoad `cbor:"busy,omitempty"`
	// Renewal counts the renewals of this run.
	Renewal uint64 `cbor:"renewal"`
}

// PoolLoad is the number of requests of one process at the targets of a pool in an
// availability zone.
type PoolLoad struct {
	Pool     sillid.PoolID `cbor:"pool"`
	Zone     sillid.ZoneID `cbor:"zone"`
	Requests int           `cbor:"count"`
}

// member is a row with the time at which it last changed.
type member struct {
	Member
	seen time.Time
}

// Members holds the processes that are known. It is safe for concurrent use.
type Members struct {
	mu   sync.Mutex
	rows map[sillid.InstanceID]member
}

// NewMembers returns an empty set.
func NewMembers() *Members {
	return &Members{rows: make(map[sillid.InstanceID]member)}
}

// Key returns the key of an instance's row.
func Key(instance sillid.InstanceID) string { return Table + "/" + string(instance) }

// Encode returns the row of a member.
func Encode(m Member) (silltable.Write, error) {
	b, err := cbor.Marshal(m)
	return silltable.Write{Key: Key(m.Instance), Value: b}, eris.Wrap(err, "sillcluster.Encode")
}

// Reset takes all rows of the table. A process is given a whole lapse from now,
// since nothing is known of the time before.
func (s *Members) Reset(now time.Time, rows []silltable.Row) error {
	s.mu.Lock()
	s.rows = make(map[sillid.InstanceID]member)
	s.mu.Unlock()
	changes := make([]silltable.Change, len(rows))
	for i, row := range rows {
		changes[i].Row = row
	}
	return s.Apply(now, changes)
}

// Apply takes changes of the table. It returns the error of the last row that
// could not be read; the others count.
func (s *Members) Apply(now time.Time, changes []silltable.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var failure error
	for _, c := range changes {
		instance := sillid.InstanceID(c.Row.Key[len(Table)+1:])
		if c.Removed {
			delete(s.rows, instance)
			continue
		}
		var m Member
		if err := cbor.Unmarshal(c.Row.Value, &m); err != nil {
			failure = eris.Wrapf(err, "sillcluster.Apply: row %q", c.Row.Key)
			continue
		}
		s.rows[instance] = member{Member: m, seen: now}
	}
	return failure
}

// Refresh gives every process a whole lapse from now, after a time in which the
// table could not be read.
func (s *Members) Refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, m := range s.rows {
		m.seen = now
		s.rows[id] = m
	}
}

// Alive returns whether a run is known and renewed its row in time.
func (s *Members) Alive(now time.Time, run Run) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.rows {
		if m.Run == run {
			return now.Sub(m.seen) < MemberTimeout
		}
	}
	return false
}

// Live returns the processes that take work, sorted by instance.
func (s *Members) Live(now time.Time) []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []Member
	for _, m := range s.rows {
		if !m.Leaving && now.Sub(m.seen) < MemberTimeout {
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

// Rank returns the place of an instance among the live ones for a name, by
// rendezvous hashing, and false if it is not among them.
func (s *Members) Rank(now time.Time, name string, self sillid.InstanceID) (int, bool) {
	live := s.Live(now)
	ids := make([]sillid.GatewayID, 0, len(live))
	found := false
	for _, m := range live {
		ids = append(ids, sillid.GatewayID(m.Instance))
		found = found || m.Instance == self
	}
	return silllease.Rank(name, sillid.GatewayID(self), ids), found
}

// First returns the live process with the first rank for a name, and false if
// there is none.
func (s *Members) First(now time.Time, name string) (Member, bool) {
	for _, m := range s.Live(now) {
		if rank, _ := s.Rank(now, name, m.Instance); rank == 0 {
			return m, true
		}
	}
	return Member{}, false
}
