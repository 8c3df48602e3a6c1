// Package sillcluster tracks which gateway processes are alive, from the rows that
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
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Table is the name of the table with one row per instance, keyed by the instance.
const Table = "gateway-node"

const (
	// RenewEvery is the time between two renewals of a process's row.
	RenewEvery = 500 * time.Millisecond
	// MemberTimeout is how long a row may stay unchanged before its process counts
	// as dead. Two lost renewals are tolerated.
	MemberTimeout = 1700 * time.Millisecond
)

// Run identifies one run of a gateway process. It is new at every start.
type Run string

// Member is the row that a process writes about itself.
type Member struct {
	Instance sillid.InstanceID `cbor:"instance"`
	Run      Run               `cbor:"run"`
	// Address is where other gateways reach the process.
	Address string        `cbor:"address"`
	Zone    sillid.ZoneID `cbor:"zone"`
	// Leaving is whether the process is stopping and accepts no new work.
	Leaving bool `cbor:"leaving"`
	// PoolLoads holds the process's running requests in the autoscaled pools.
	PoolLoads []PoolLoad `cbor:"busy,omitempty"`
	// Renewal counts the renewals of this run.
	Renewal uint64 `cbor:"renewal"`
	// CrashEvidence is the process's evidence on requests that crash targets, encoded
	// by package sillcrash.
	CrashEvidence []byte `cbor:"crash-evidence,omitempty"`
	// LeavingTargets are runs of targets that said in a response that they leave.
	LeavingTargets []silltarget.Run `cbor:"leaving-targets,omitempty"`
}

// PoolLoad is the number of running requests of one process at the targets of a
// pool in an availability zone.
type PoolLoad struct {
	Pool     sillid.PoolID `cbor:"pool"`
	Zone     sillid.ZoneID `cbor:"zone"`
	Requests int           `cbor:"count"`
}

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
}

// NewMembers returns an empty set that passes each row that it gets to onRow. The
// function must not call the set.
func NewMembers(onRow func(Member)) *Members {
	return &Members{onRow: onRow, rows: make(map[sillid.InstanceID]memberRow)}
}

// Key returns the key of an instance's row.
func Key(instance sillid.InstanceID) string { return Table + "/" + string(instance) }

// Encode returns the write that stores the row of a member.
func Encode(m Member) (silltable.Write, error) {
	b, err := cbor.Marshal(m)
	return silltable.Write{Key: Key(m.Instance), Value: b}, eris.Wrap(err, "sillcluster.Encode")
}

// Decode decodes the row of a member.
func Decode(row silltable.Row) (Member, error) {
	var m Member
	err := cbor.Unmarshal(row.Value, &m)
	return m, eris.Wrapf(err, "sillcluster.Decode: row %q", row.Key)
}

// Reset replaces all rows. Every process gets the full MemberTimeout from now, since
// the time of its last renewal is unknown. It returns errors as Apply does.
func (s *Members) Reset(now time.Time, rows []silltable.Row) error {
	s.mu.Lock()
	s.rows = make(map[sillid.InstanceID]memberRow)
	s.mu.Unlock()
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
	var failure error
	for _, c := range changes {
		instance := sillid.InstanceID(c.Row.Key[len(Table)+1:])
		if c.Removed {
			delete(s.rows, instance)
			continue
		}
		m, err := Decode(c.Row)
		if err != nil {
			failure = err
			continue
		}
		s.onRow(m)
		m.CrashEvidence, m.LeavingTargets = nil, nil
		s.rows[instance] = memberRow{Member: m, lastRenewed: now}
	}
	return failure
}

// Refresh gives every process the full MemberTimeout from now. It is called after an
// outage of the table, during which no renewals could be read.
func (s *Members) Refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// LastLive returns the processes that were alive and not leaving when the newest row
// was read, in no particular order. It is for calls that must reach them while the
// table is unavailable.
func (s *Members) LastLive() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// Rank returns the rank of an instance among the live ones for a name, by rendezvous
// hashing, and false if the instance is not live.
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

// First returns the live process with rank 0 for a name, and false if no process
// is live.
func (s *Members) First(now time.Time, name string) (Member, bool) {
	for _, m := range s.Live(now) {
		if rank, _ := s.Rank(now, name, m.Instance); rank == 0 {
			return m, true
		}
	}
	return Member{}, false
}
