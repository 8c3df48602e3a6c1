package silldirectgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillmeter"
	"github.com/wasabisill/wasabisill/internal/sillscaler"
	"github.com/wasabisill/wasabisill/internal/sillweightcontroller"
)

// Lease of the duties. A former holder's term ends a margin before its row may
// be taken over; together with the settle time no three holders act within the
// bound of the platform.
const (
	dutyName     = "duties"
	dutyLease    = 2 * time.Second
	dutyMargin   = 150 * time.Millisecond
	dutyRenew    = 500 * time.Millisecond
	dutyPoll     = 700 * time.Millisecond
	dutyPollMost = 2 * time.Second
	// dutyCall bounds a call of the table for the lease, and a usage report.
	dutyCall = 500 * time.Millisecond
	// settleShare of the platform's bound, and settleBeyond, is how long a new
	// holder waits: two changes of holder then span more than the bound.
	settleShare  = 0.5
	settleBeyond = 100 * time.Millisecond
	// usageSettle is how long after its end a window is added up: each process
	// writes its counts once a second, and its write may have to be repeated.
	usageSettle = 4 * time.Second
)

// duties are what one gateway at a time does for all: orders of weights and of
// targets, reports of usage and the removal of old jobs.
type duties struct {
	settings *Settings
	seams    *Adapter
	tables   tables
	members  *membership
	view     *view
	store    *silljob.Store
	registry *prometheus.Registry
	log      *zap.Logger
}

func newDuties(s *Settings, seams *Adapter, t tables, m *membership, v *view, st *silljob.Store, r *prometheus.Registry, log *zap.Logger) *duties {
	return &duties{settings: s, seams: seams, tables: t, members: m, view: v, store: st, registry: r, log: log}
}

// run competes for the lease of the duties and carries them out, until ctx ends.
func (d *duties) run(ctx context.Context) {
	settle := time.Duration(settleShare*float64(d.settings.LeaseBound)) + settleBeyond
	runner := silllease.NewRunner(silllease.RunnerConfig{
		Lease: silllease.Config{
			Name: dutyName, Owner: silllease.Owner(d.members.run), Duration: dutyLease, Margin: dutyMargin,
			RenewEvery: dutyRenew, PollEvery: dutyPoll, MaxPollEvery: dutyPollMost,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Store: d.tables.store, Now: sillclock.Boot, Rank: d.members.dutyRank, CallTimeout: dutyCall,
		SettleTime: settle, Task: d.carryOut, Log: d.log, Metrics: silllease.NewMetrics(d.registry),
	})
	runner.Run(ctx)
}

// carryOut runs while this process holds the lease.
func (d *duties) carryOut(ctx context.Context, guard silllease.Guard) {
	group := sillgroup.New(ctx)
	defer group.Stop()
	controller := sillweightcontroller.NewController(sillweightcontroller.Config{
		Engines: d.view.engines, Desired: d.view.wanted,
		Order: d.seams.SendOrder, Report: d.seams.FetchReport, Now: sillclock.Boot, Log: d.log,
	})
	group.Go(func(ctx context.Context) { controller.Run(ctx, guard) })
	retention := &silljob.Retention{Store: d.store, Board: d.view.board, Period: d.settings.JobRetention, Log: d.log}
	group.Go(retention.Run)
	if d.settings.ReportsUsage {
		reporter := sillmeter.NewReporter(sillmeter.ReporterConfig{
			Table: d.tables.store, WindowLength: d.settings.UsageWindow, SettleTime: usageSettle, MaxDelay: d.settings.UsageMaxDelay,
			Send: d.usageSender(guard), Log: d.log,
		})
		group.Go(reporter.Run)
	}
	if d.settings.ScalesTargets {
		resizer := sillscaler.NewResizer(sillscaler.ResizerConfig{
			Bounds: d.view.scalings, Occupancy: d.occupancy, Order: d.scaleOrder(guard), Now: sillclock.Boot, Log: d.log,
		})
		group.Go(resizer.Run)
	}
	<-ctx.Done()
}

// errNotHolder is returned for a report that the lease no longer covers.
var errNotHolder = errors.New("the lease of the duties is over")

// usageSender sends reports while the lease lasts.
func (d *duties) usageSender(guard silllease.Guard) func(context.Context, sillmeter.Window, sillmeter.Counts) error {
	return func(ctx context.Context, w sillmeter.Window, counts sillmeter.Counts) error {
		if !guard.MayAct(sillclock.Boot().Add(dutyCall)) {
			return errNotHolder
		}
		ctx, cancel := context.WithTimeout(ctx, dutyCall)
		defer cancel()
		return d.seams.SendUsage(ctx, w, counts, guard.Epoch)
	}
}
