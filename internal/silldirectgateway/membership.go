package silldirectgateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillgroupcommit"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// renewTimeout is the time limit for one renewal of the process's row: through the leader
// of its group commits and, if that fails, directly.
const renewTimeout = time.Second

const (
	// tableFailureMemory is how long a failed call counts as a sign that the table refuses
	// calls. Each process makes several calls a second.
	tableFailureMemory = time.Second
	// takeoverFailureMemory is the same for takeovers: longer than it takes running owners to
	// renew their rows once the table is back.
	takeoverFailureMemory = 3 * time.Second
)

// membership holds the running gateways and keeps this process's row among them.
type membership struct {
	settings *Settings
	log      *zap.Logger
	members  *sillcluster.Members
	// run is new at every start.
	run sillcluster.Run
	// address is where other gateways reach the process. It is set before renew is
	// called.
	address string
	// poolLoads returns the running requests of this process in the autoscaled pools.
	// It is set before renew is called.
	poolLoads func() []sillcluster.PoolLoad
	// membersAge returns the age of the view of the gateways, and false before its first read.
	// It is set before renew is called; nil stands for an unknown age.
	membersAge func() (time.Duration, bool)
	// tableFails returns whether the table refused calls of this process within a time that
	// peers could not make for it either. It is set before renew is called; nil stands for never.
	tableFails func(within time.Duration) bool
	renewals   atomic.Uint64
	// committer writes the process's row. It is set before renew is called; nil writes
	// directly.
	committer *sillgroupcommit.Committer
	evidence  *crashEvidence
	leaving   *leavingTargets
	limits    *targetLimits
	// read is closed once the rows of the gateways were read.
	read     chan struct{}
	readOnce sync.Once
	// restored is whether what the row of the process's last run tells is merged.
	restored bool
	// formerRun is the last run of the process, which has ended: this one listens on its address.
	// It is empty if unknown, and set before formerRead is closed.
	formerRun  sillcluster.Run
	formerRead chan struct{}

	// writing is held during each write of the process's row, so that none replaces a
	// newer one.
	writing sync.Mutex
	// stopping is whether the process is stopping; from then on every row says so.
	stopping atomic.Bool
}

func newMembership(s *Settings, e *crashEvidence, l *leavingTargets, limits *targetLimits, r *prometheus.Registry, log *zap.Logger) *membership {
	m := &membership{settings: s, log: log.Named("members"), run: sillcluster.Run(sillid.Fresh("run")), evidence: e, leaving: l, limits: limits, read: make(chan struct{}), formerRead: make(chan struct{})}
	m.members = sillcluster.NewMembers(m.mergeKnowledge)
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wasabisill_live_gateways", Help: "Gateways that this process knows to be alive.",
	}, func() float64 { return float64(m.countLive()) }))
	return m
}

func (m *membership) countLive() int { return len(m.members.Live(sillclock.Boot())) }

// mergeKnowledge adds what the row of another process tells of targets and requests.
func (m *membership) mergeKnowledge(other sillcluster.Member) {
	if other.Run != m.run {
		m.evidence.mergeRow(other, wayRow)
		m.leaving.merge(other.LeavingTargets)
		m.limits.merge(other.TargetLimits)
	}
}

// owner returns the process that runs a new job. All jobs of a model that the same gateways
// may own have the same owner, so that its connections, caches and queue are in one process.
// While the table refuses calls, this process owns the job: another one would have to read it
// from the table before it can begin.
func (m *membership) owner(p silljob.Placement) silljob.GatewayRun {
	if m.tableFails != nil && m.tableFails(tableFailureMemory) && m.mayOwn(p)(sillcluster.Member{Zone: m.settings.Zone}) {
		return silljob.GatewayRun(m.run)
	}
	if first, ok := m.members.FirstAmong(sillclock.Boot(), string(p.Model), m.mayOwn(p)); ok {
		return silljob.GatewayRun(first.Run)
	}
	return silljob.GatewayRun(m.run)
}

// tableFailed returns whether the table refused calls of this process lately. A table that comes
// back for moments only has refused some within takeoverFailureMemory.
func (m *membership) tableFailed() bool {
	return m.tableFails != nil && m.tableFails(takeoverFailureMemory)
}

func (m *membership) rank(p silljob.Placement) (int, bool) {
	return m.members.RankAmong(sillclock.Boot(), string(p.Model), m.settings.Instance, m.mayOwn(p))
}

// taskRank returns the rank of this process among the candidates for the lease of
// the control tasks.
func (m *membership) taskRank() int {
	rank, _ := m.members.Rank(sillclock.Boot(), taskLeaseName, m.settings.Instance)
	return rank
}

func (m *membership) alive(run silljob.GatewayRun) bool {
	return m.members.Alive(sillclock.Boot(), sillcluster.Run(run))
}

// isKnown returns whether the process has read a row of a run, alive or not.
func (m *membership) isKnown(run silljob.GatewayRun) bool {
	return m.members.HasRow(sillcluster.Run(run))
}

// commitLeader returns the gateway that commits the row of this one.
func (m *membership) commitLeader() sillgroupcommit.Leader {
	leader, ok := m.members.CommitLeader(sillclock.Boot(), m.settings.Instance)
	switch {
	case !ok:
		return sillgroupcommit.Leader{}
	case leader.Run == m.run:
		return sillgroupcommit.Leader{Self: true}
	}
	return sillgroupcommit.Leader{Address: leader.Address}
}

func (m *membership) reset(rows []silltable.Row, _ time.Duration) {
	defer m.readOnce.Do(func() { close(m.read) })
	if err := m.members.Reset(sillclock.Boot(), rows); err != nil {
		m.log.Error("Row of a gateway can't be decoded; skipping it.", silllog.Err(err))
	}
}

func (m *membership) apply(changes []silltable.Change, outage time.Duration) {
	now := sillclock.Boot()
	if outage > 0 {
		m.members.Refresh(now)
	}
	if err := m.members.Apply(now, changes); err != nil {
		m.log.Error("Row of a gateway can't be decoded; skipping it.", silllog.Err(err))
	}
}

// renew renews the process's row periodically, and at once if there is urgent crash
// evidence, until ctx ends.
func (m *membership) renew(ctx context.Context, store *silltable.Store) {
	ticker := time.NewTicker(sillcluster.RenewEvery)
	defer ticker.Stop()
	for {
		m.renewOnce(ctx, store)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.evidence.urgent:
		}
	}
}

// renewOnce writes the process's row. It sends the crash evidence, the leaving targets and
// the limits of targets to peers directly if the row can't be written.
func (m *membership) renewOnce(ctx context.Context, store *silltable.Store) {
	if m.restoreKnowledge(ctx, store) && m.write(ctx, store, false) {
		return
	}
	m.evidence.send(ctx, m.lastPeers())
	m.leaving.send(ctx, m.lastPeers())
	m.limits.send(ctx, m.lastPeers())
}

// restoreKnowledge merges what the last run of the process left in its row, which the first
// renewal replaces. It returns false if the row can't be read.
func (m *membership) restoreKnowledge(ctx context.Context, store *silltable.Store) bool {
	if m.restored {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	row, err := m.lastRow(ctx, store)
	if err != nil {
		m.log.Warn("Row of this gateway not read; not replacing it.", silllog.Err(err))
		return false
	}
	m.restored = true
	defer close(m.formerRead)
	if row.Revision == silltable.Absent {
		return true
	}
	last, err := sillcluster.Decode(row)
	if err != nil {
		m.log.Error("Row of this gateway can't be decoded; replacing it.", silllog.Err(err))
		return true
	}
	if last.Address == m.address && last.Run != m.run {
		m.formerRun = last.Run
	}
	m.evidence.mergeRow(last, wayRestored)
	m.leaving.merge(last.LeavingTargets)
	m.limits.merge(last.TargetLimits)
	return true
}

// former returns the last run of the process, and waits for it to be read up to a time; empty if
// it is not known.
func (m *membership) former(ctx context.Context, limit time.Duration) sillcluster.Run {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-m.formerRead:
		return m.formerRun
	case <-ctx.Done():
		return ""
	}
}

// lastRow returns the row that the last run of the process left, or an absent row.
func (m *membership) lastRow(ctx context.Context, store *silltable.Store) (silltable.Row, error) {
	row, err := store.GetOrAbsent(ctx, sillcluster.Key(m.settings.Zone, m.settings.Instance))
	if err != nil || row.Revision != silltable.Absent {
		return row, err
	}
	// The last run may be of a build that did not write to the partition of the zone.
	return store.GetOrAbsent(ctx, sillcluster.Key("", m.settings.Instance))
}

// write writes the process's row and returns whether that succeeded. Leaving marks the
// process as stopping. It waits for another write for renewTimeout at most.
func (m *membership) write(ctx context.Context, store *silltable.Store, leaving bool) bool {
	m.writing.Lock()
	defer m.writing.Unlock()
	if leaving {
		m.stopping.Store(true)
	}
	write, err := sillcluster.Encode(sillcluster.Member{
		Instance: m.settings.Instance, Run: m.run, Address: m.address, Zone: m.settings.Zone,
		Leaving: m.stopping.Load(), GroupCommit: true, Capacity: m.settings.Capacity, PoolLoads: m.poolLoads(), Renewal: m.renewals.Add(1), CrashEvidence: m.evidence.encode(),
		LeavingTargets: m.leaving.list(), GrantsPermits: true, TargetLimits: m.limits.list(),
	})
	if err != nil {
		m.log.Error("Row of this gateway can't be encoded.", silllog.Err(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if err := m.commit(ctx, store, write, leaving); err != nil {
		m.log.Warn("Row of this gateway not renewed.", zap.Bool("leaving", leaving), silllog.Err(err))
		return false
	}
	return true
}

// commit writes a row. The row of a leaving process is not gathered with others, so that
// it gets no new work from now on.
func (m *membership) commit(ctx context.Context, store *silltable.Store, row silltable.Write, leaving bool) error {
	if m.committer != nil && !leaving {
		return m.committer.Commit(ctx, string(m.settings.Zone), []silltable.Write{row})
	}
	_, err := store.Commit(ctx, silltable.Txn{Writes: []silltable.Write{row}})
	return err
}
