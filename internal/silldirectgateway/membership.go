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

// renewTimeout bounds the renewal of the process's row.
const renewTimeout = 600 * time.Millisecond

// membership is this process among the gateways that run.
type membership struct {
	settings *Settings
	log      *zap.Logger
	members  *sillcluster.Members
	// run is fresh at every start.
	run sillcluster.Run
	// address is where other gateways reach the process; set before renew.
	address string
	// busy returns what the process has at targets whose number follows the load;
	// set before renew.
	busy     func() []sillcluster.PoolLoad
	renewals atomic.Uint64
}

func newMembership(s *Settings, log *zap.Logger) *membership {
	return &membership{
		settings: s, log: log.Named("members"), members: sillcluster.NewMembers(),
		run: sillcluster.Run(sillid.Fresh("run")),
	}
}

// owner returns the process that is to run new jobs of a model: one for all of
// them, so that connections, caches and the queue of a model stand in one place.
func (m *membership) owner(model sillid.ModelID) silljob.GatewayRun {
	if first, ok := m.members.First(sillclock.Boot(), string(model)); ok {
		return silljob.GatewayRun(first.Run)
	}
	return silljob.GatewayRun(m.run)
}

func (m *membership) rank(model sillid.ModelID) (int, bool) {
	return m.members.Rank(sillclock.Boot(), string(model), m.settings.Instance)
}

// dutyRank returns the place of this process among those that may hold the duties.
func (m *membership) dutyRank() int {
	rank, _ := m.members.Rank(sillclock.Boot(), dutyName, m.settings.Instance)
	return rank
}

func (m *membership) alive(run silljob.GatewayRun) bool {
	return m.members.Alive(sillclock.Boot(), sillcluster.Run(run))
}

// peers returns the addresses of the other gateways, those of this availability
// zone in front.
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
		m.log.Error("Row of a gateway can't be read.", silllog.Err(err))
	}
}

func (m *membership) apply(changes []silltable.Change, outage time.Duration) {
	now := sillclock.Boot()
	if outage > 0 {
		m.members.Refresh(now)
	}
	if err := m.members.Apply(now, changes); err != nil {
		m.log.Error("Row of a gateway can't be read.", silllog.Err(err))
	}
}

// renew keeps the process's row up to date until ctx ends.
func (m *membership) renew(ctx context.Context, store *silltable.Store) {
	m.write(ctx, store, false)
	sillgroup.Every(ctx, sillcluster.RenewEvery, func(time.Time) { m.write(ctx, store, false) })
}

// write writes the process's row.
func (m *membership) write(ctx context.Context, store *silltable.Store, leaving bool) {
	write, err := sillcluster.Encode(sillcluster.Member{
		Instance: m.settings.Instance, Run: m.run, Address: m.address, Zone: m.settings.Zone,
		Leaving: leaving, PoolLoads: m.busy(), Renewal: m.renewals.Add(1),
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
