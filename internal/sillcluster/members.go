// Package sillcluster tracks which gateway processes are alive, from the rows that
// they renew in the platform's table.
package sillcluster

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
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
	// Capacity is the number of processor cores that the process may use; 0 if unknown.
	Capacity float64 `cbor:"capacity,omitempty"`
	// GroupCommit is whether the process commits the rows of others with its own.
	GroupCommit bool `cbor:"group-commit,omitempty"`
	// PoolLoads holds the process's running requests in the autoscaled pools.
	PoolLoads []PoolLoad `cbor:"busy,omitempty"`
	// Renewal counts the renewals of this run.
	Renewal uint64 `cbor:"renewal"`
	// CrashEvidence is the process's evidence on requests that crash targets, encoded
	// by package sillcrash.
	CrashEvidence []byte `cbor:"crash-evidence,omitempty"`
	// LeavingTargets are runs of targets that said in a response that they leave.
	LeavingTargets []silltarget.Run `cbor:"leaving-targets,omitempty"`
	// GrantsPermits is whether the process grants permits for targets that name a limit on
	// requests. TargetLimits are the limits of those for which it does.
	GrantsPermits bool                  `cbor:"grants-permits,omitempty"`
	TargetLimits  []silltarget.RunLimit `cbor:"target-limits,omitempty"`
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
	// history holds the latest lists of the processes that grant permits, the oldest first.
	history []granterList
}

// NewMembers returns an empty set that passes each row that it gets to onRow. The
// function must not call the set.
func NewMembers(onRow func(Member)) *Members {
	return &Members{onRow: onRow, rows: make(map[sillid.InstanceID]memberRow)}
}

// Key returns the key of an instance's row.
func Key(zone sillid.ZoneID, instance sillid.InstanceID) string {
	return Table + "/" + string(zone) + "/" + string(instance)
}

// instanceOf returns the instance whose row has a key.
func instanceOf(key string) sillid.InstanceID {
	return sillid.InstanceID(key[strings.LastIndexByte(key, '/')+1:])
}

// Encode returns the write that stores the row of a member.
func Encode(m Member) (silltable.Write, error) {
	b, err := cbor.Marshal(m)
	return silltable.Write{Key: Key(m.Zone, m.Instance), Value: b}, eris.Wrap(err, "sillcluster.Encode")
}

// Decode decodes the row of a member.
func Decode(row silltable.Row) (Member, error) {
	var m Member
	err := cbor.Unmarshal(row.Value, &m)
	return m, eris.Wrapf(err, "sillcluster.Decode: row %q", row.Key)
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
