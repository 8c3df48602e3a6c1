package sillapp

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbilling"
	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/sillusage"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// backupFlushInterval is the time between two writes of the records of dead agents.
	backupFlushInterval = time.Second
	// meterSilence is the time without a heartbeat after which the gateway writes the
	// records of a meter.
	meterSilence = 15 * time.Second
	// usageStepInterval is the time between two steps of the usage task.
	usageStepInterval = 5 * time.Second
	// stepsPerCollection is the number of steps between two deletions of old rows.
	stepsPerCollection = 60
	// usageRetention is the age at which rows that no step needs are deleted.
	usageRetention = 48 * time.Hour
	// usageLease is the name of the lease of the usage task.
	usageLease = "usage"
)

// recordBackup keeps the usage records of the responses that passed this gateway.
type recordBackup struct {
	*sillusage.RecordBackup

	mu     sync.Mutex
	meters map[sillid.TargetID]*targetMeter
}

// targetMeter is the meter that the last heartbeat of a target's agent named.
type targetMeter struct {
	name sillid.AgentID
	at   time.Time
	// dead is true once MarkAgentDead was called for the meter.
	dead bool
}

func newRecordBackup(id sillid.GatewayID, t *silltable.Store, m *sillusage.Metrics) *recordBackup {
	return &recordBackup{
		RecordBackup: sillusage.NewRecordBackup(sillusage.RecordBackupConfig{
			Gateway: id,
			Limit:   sillusage.DefaultRecordBackupLimit,
			Store:   t,
			Metrics: m,
		}),
		meters: make(map[sillid.TargetID]*targetMeter),
	}
}

// add keeps the record that came with the end of a response.
func (b *recordBackup) add(r *sillwire.UsageRecord) {
	b.Add(sillusage.Record{
		Agent:        r.Agent,
		Sequence:     r.Sequence,
		Organisation: r.Organisation,
		Window:       sillusage.Window(r.WindowUnixMillis),
		Route:        r.Route,
		Figures: sillusage.Figures{
			Requests:            r.Requests,
			PromptTokens:        r.PromptTokens,
			CompletionTokens:    r.CompletionTokens,
			ServiceMilliseconds: r.ServiceMillis,
		},
	})
}

// handlePong records an agent's heartbeat.
func (b *recordBackup) handlePong(now time.Time, p *sillwire.Pong) {
	b.Trim(sillusage.DurableSequence{Agent: p.Meter, Sequence: p.DurableSequence})
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.meters[p.Target]
	if m != nil && m.name != p.Meter {
		b.MarkAgentDead(m.name)
	}
	if m == nil || m.name != p.Meter {
		m = &targetMeter{name: p.Meter}
		b.meters[p.Target] = m
	}
	m.at = now
	m.dead = false
}

// markSilentMeters marks as dead the meters that were silent for longer than the limit.
func (b *recordBackup) markSilentMeters(now time.Time, limit time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.meters {
		if !m.dead && now.Sub(m.at) > limit {
			m.dead = true
			b.MarkAgentDead(m.name)
		}
	}
}

// run writes the records of dead agents until ctx ends, and then those of agents that
// are silent, which nobody else may hold.
func (b *recordBackup) run(ctx context.Context, log *zap.Logger) {
	sillgroup.Every(ctx, backupFlushInterval, func(now time.Time) {
		b.markSilentMeters(now, meterSilence)
		if err := b.Flush(ctx); err != nil && ctx.Err() == nil {
			log.Debug("could not write the records of dead agents", zap.Error(err))
		}
	})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlushTimeout)
	defer cancel()
	b.markSilentMeters(time.Now(), sillwire.SilenceLimit)
	if err := b.Flush(ctx); err != nil {
		log.Warn("could not write the records of silent agents; their use is not reported", zap.Error(err))
	}
}

// usageModule holds the gateway's part in metering and the usage task.
func usageModule() fx.Option {
	return fx.Options(
		fx.Provide(newRecordBackup, sillusage.NewMetrics, newBilling, newUsageTask),
		fx.Invoke(startUsage),
	)
}

func newBilling(s *sillsettings.Gateway) *sillbilling.Client {
	return sillbilling.Dial(sillcall.Config{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Duration()})
}

// usageParts holds the dependencies of the usage task.
type usageParts struct {
	fx.In

	Settings *sillsettings.Gateway
	Table    *silltable.Store
	Billing  *sillbilling.Client
	Metrics  *sillusage.Metrics
	Log      *zap.Logger
}

func newUsageTask(p usageParts) *sillusage.Task {
	c := p.Settings.Control
	log := p.Log.Named("usage")
	return sillusage.NewTask(sillusage.TaskConfig{
		Closer: sillusage.NewCloser(sillusage.CloserConfig{
			Store:        p.Table,
			Now:          time.Now,
			WindowLength: c.UsageWindow.Duration(),
			CloseDelay:   c.UsageGrace.Duration() / closeDelayDivisor,
			DeadAfter:    c.UsageGrace.Duration(),
			OrphanGrace:  c.UsageGrace.Duration() / orphanGraceDivisor,
			Logger:       log,
			Metrics:      p.Metrics,
		}),
		Reporter: sillusage.NewReporter(sillusage.ReporterConfig{
			Store:   p.Table,
			Billing: p.Billing,
			Now:     time.Now,
			Logger:  log,
			Metrics: p.Metrics,
		}),
		Collector:    sillusage.NewCollector(sillusage.CollectorConfig{Store: p.Table, Now: time.Now, Retention: usageRetention}),
		Interval:     min(usageStepInterval, c.UsageWindow.Duration()/2),
		CollectEvery: stepsPerCollection,
		SettleTime:   2 * p.Settings.Platform.Timeout.Duration(),
		Logger:       log,
	})
}

// The grace period for dead agents is divided: a window waits a third of it for late
// flushes, and half of it for the records of an agent that the gateways count as dead.
const (
	closeDelayDivisor  = 3
	orphanGraceDivisor = 2
)

func startUsage(lc fx.Lifecycle, b background, c controlTasks, r *recordBackup, l *leases, t *sillusage.Task, log *zap.Logger) {
	lc.Append(fx.StartHook(func() {
		b.Go(func(ctx context.Context) { r.run(ctx, log.Named("usage")) })
		l.start(c, leaseTask{name: usageLease, run: func(ctx context.Context, g silllease.Guard) { t.Run(ctx, g) }})
	}))
}
