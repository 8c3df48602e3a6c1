package silldirectgateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// renewTimeout is the time limit for one renewal of the process's row.
const renewTimeout = 600 * time.Millisecond

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
	renewals  atomic.Uint64
}

func newMembership(s *Settings, log *zap.Logger) *membership {
	return &membership{
		settings: s, log: log.Named("members"), members: sillcluster.NewMembers(),
		run: sillcluster.Run(sillid.Fresh("run")),
	}
}

// owner returns the process that runs new jobs of a model. All jobs of a model have
// the same owner, so that its connections, caches and queue are in one process.
func (m *membership) owner(model sillid.ModelID) silljob.GatewayRun {
	if first, ok := m.members.First(sillclock.Boot(), string(model)); ok {
		return silljob.GatewayRun(first.Run)
	}
	return silljob.GatewayRun(m.run)
}

func (m *membership) rank(model sillid.ModelID) (int, bool) {
	return m.members.Rank(sillclock.Boot(), string(model), m.settings.Instance)
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

// peers returns the addresses of the other live gateways: first those of this
// availability zone, then the others in random order.
func (m *membership) peers() []string {
	var near, far []string
	for _, other := range m.members.Live(sillclock.Boot()) {
		switch {
		case other.Instance == m.settings.Instance:
		case other.Zone == m.settings.Zone:
			near = append(near, other.Address)
		default:
			far = append(far, other.Address)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

func (m *membership) reset(rows []silltable.Row, _ time.Duration) {
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

// renew renews the process's row periodically until ctx ends.
func (m *membership) renew(ctx context.Context, store *silltable.Store) {
	m.write(ctx, store, false)
	sillgroup.Every(ctx, sillcluster.RenewEvery, func(time.Time) { m.write(ctx, store, false) })
}

// write writes the process's row. Leaving marks the process as stopping.
func (m *membership) write(ctx context.Context, store *silltable.Store, leaving bool) {
	write, err := sillcluster.Encode(sillcluster.Member{
		Instance: m.settings.Instance, Run: m.run, Address: m.address, Zone: m.settings.Zone,
		Leaving: leaving, PoolLoads: m.poolLoads(), Renewal: m.renewals.Add(1),
	})
	if err != nil {
		m.log.Error("Row of this gateway can't be encoded.", silllog.Err(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if _, err := store.Commit(ctx, silltable.Txn{Writes: []silltable.Write{write}}); err != nil {
		m.log.Warn("Row of this gateway not renewed.", zap.Bool("leaving", leaving), silllog.Err(err))
	}
}
