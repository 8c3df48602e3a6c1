package silldirectgateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillmeter"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillscaler"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/sillweightcontroller"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Parameters of the lease of the control tasks. A holder's term ends
// taskLeaseMargin before its row may be taken over. Together with the settle time
// this ensures that no three holders act within Settings.LeaseBound.
const (
	taskLeaseName       = "duties"
	taskLeaseDuration   = 2 * time.Second
	taskLeaseMargin     = 150 * time.Millisecond
	taskRenewInterval   = 500 * time.Millisecond
	taskPollInterval    = 700 * time.Millisecond
	taskMaxPollInterval = 2 * time.Second
	// taskCallTimeout is the time limit of a table call for the lease, of a usage
	// report and of a scale order.
	taskCallTimeout = 500 * time.Millisecond
	// formerRunTimeout is how long a starting process waits for the row of its last run, which
	// may have held the lease.
	formerRunTimeout = time.Second
	// A new holder waits for settleBoundShare of Settings.LeaseBound plus
	// settleMargin before it acts, so that two changes of holder span more than
	// the bound.
	settleBoundShare = 0.5
	settleMargin     = 100 * time.Millisecond
	// usageSettleTime is the time from the end of a usage window until it is added
	// up: each process writes its counts once a second and may have to retry.
	usageSettleTime = 4 * time.Second
)

// controlTasks are the tasks that one gateway at a time, the lease holder, performs
// for all: ordering weights and targets, reporting usage and removing old jobs.
type controlTasks struct {
	settings *Settings
	adapter  *Adapter
	tables   tables
	members  *membership
	view     *view
	store    *silljob.Store
	broker   *sillpermit.Broker
	// membersAge returns the age of the view of the gateways, and false before its first read.
	membersAge func() (time.Duration, bool)
	registry   *prometheus.Registry
	log        *zap.Logger
}

func newControlTasks(s *Settings, adapter *Adapter, t tables, m *membership, v *view, st *silljob.Store, b *sillpermit.Broker, f *followers, r *prometheus.Registry, log *zap.Logger) *controlTasks {
	return &controlTasks{
		settings: s, adapter: adapter, tables: t, members: m, view: v, store: st, broker: b,
		membersAge: f.membersAge, registry: r, log: log,
	}
}

// run competes for the lease and runs the control tasks while it holds it, until
// ctx ends.
func (c *controlTasks) run(ctx context.Context) {
	settle := time.Duration(settleBoundShare*float64(c.settings.LeaseBound)) + settleMargin
	former := c.members.former(ctx, formerRunTimeout)
	runner := silllease.NewRunner(silllease.RunnerConfig{
		Lease: silllease.Config{
			Name: taskLeaseName, Owner: silllease.Owner(c.members.run), Former: silllease.Owner(former), Duration: taskLeaseDuration, Margin: taskLeaseMargin,
			RenewEvery: taskRenewInterval, PollEvery: taskPollInterval, MaxPollEvery: taskMaxPollInterval,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Store: c.tables.store, Now: sillclock.Boot, Rank: c.members.taskRank, CallTimeout: taskCallTimeout,
		SettleTime: settle, Task: c.runTasks, Log: c.log, Metrics: silllease.NewMetrics(c.registry),
	})
	runner.Run(ctx)
}

// runTasks runs the control tasks for one term of the lease, until ctx ends.
func (c *controlTasks) runTasks(ctx context.Context, guard silllease.Guard) {
	group := sillgroup.New(ctx)
	defer group.Stop()
	controller := sillweightcontroller.NewController(sillweightcontroller.Config{
		Engines: c.view.engines, Desired: c.view.desiredVersions,
		Order: c.sendOrder, Report: c.adapter.FetchReport, OnNotice: c.view.observeNotice, Now: sillclock.Boot, Log: c.log,
	})
	group.Go(func(ctx context.Context) { controller.Run(ctx, guard) })
	retention := &silljob.Retention{Store: c.store, Board: c.view.board, Period: c.settings.JobRetention, Log: c.log, Deletes: hasNoHomes}
	group.Go(retention.Run)
	if c.settings.ReportsUsage {
		reporter := sillmeter.NewReporter(sillmeter.ReporterConfig{
			Table: c.tables.store, WindowLength: c.settings.UsageWindow, SettleTime: usageSettleTime, MaxDelay: c.settings.UsageMaxDelay,
			LiveRuns: c.liveRuns, Send: c.usageSender(guard), Log: c.log,
		})
		group.Go(reporter.Run)
	}
	if c.settings.ScalesTargets {
		resizer := sillscaler.NewResizer(sillscaler.ResizerConfig{
			Bounds: c.view.scalingBounds, Occupancy: c.occupancy, SetDesiredCount: c.scaleOrder(guard), Now: sillclock.Boot, Log: c.log,
		})
		group.Go(resizer.Run)
	}
	<-ctx.Done()
}

// liveRuns returns the gateways that are alive, and false if the view of them is old.
func (c *controlTasks) liveRuns() ([]string, bool) {
	if age, ok := c.membersAge(); !ok || age > sillcluster.MemberTimeout {
		return nil, false
	}
	var runs []string
	for _, m := range c.members.members.Live(sillclock.Boot()) {
		runs = append(runs, string(m.Run))
	}
	return runs, true
}

// sendOrder sends an order to an engine. Orders count towards the limit that their engine
// names, but don't wait for it: they are few, and items wait for them.
func (c *controlTasks) sendOrder(ctx context.Context, l sillweightcontroller.LoadOrder, fence sillid.Epoch) (sillweightcontroller.Reply, silltarget.Notice) {
	reply, notice := c.adapter.SendOrder(ctx, l, fence)
	run := l.Target.Run()
	now := time.Now()
	known, ok := c.view.directory.Limit(now, run)
	cold, _ := c.view.directory.ColdGrant(now, run)
	if (ok && known.Limit > 0) || cold != nil {
		c.broker.Acquire(ctx, sillpermit.Ask{Run: run, Forced: true, Cold: cold})
	}
	return reply, notice
}

// errNotHolder is returned for a call that the lease doesn't cover to its end.
var errNotHolder = errors.New("the lease of the control tasks is not held long enough for the call")

// usageSender returns a function that sends usage reports while the lease is held.
func (c *controlTasks) usageSender(guard silllease.Guard) func(context.Context, sillmeter.Window, sillmeter.Counts) error {
	return func(ctx context.Context, w sillmeter.Window, counts sillmeter.Counts) error {
		if !guard.MayAct(sillclock.Boot().Add(taskCallTimeout)) {
			return errNotHolder
		}
		ctx, cancel := context.WithTimeout(ctx, taskCallTimeout)
		defer cancel()
		return c.adapter.SendUsage(ctx, w, counts, guard.Epoch)
	}
}
