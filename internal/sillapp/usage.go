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
	// witnessInterval is the time between two writes of dead agents' records.
	witnessInterval = time.Second
	// meterSilence is the time without a heartbeat after which a meter's
	// records are written by the gateway.
	meterSilence = 15 * time.Second
	// usageInterval is the time between two steps of the usage task.
	usageInterval = 5 * time.Second
	// collectEvery is the number of steps between two collections.
	collectEvery = 60
	// usageRetention is the age at which rows that no step needs are deleted.
	usageRetention = 48 * time.Hour
	// usageLease names the lease of the usage task.
	usageLease = "usage"
)

// witness keeps the usage records that passed this gateway.
type witness struct {
	*sillusage.RecordBackup

	mu     sync.Mutex
	meters map[sillid.TargetID]*heardMeter
}

// heardMeter is the meter that a target's agent last named.
type heardMeter struct {
	name sillid.AgentID
	at   time.Time
	// dead is true once the witness was told.
	dead bool
}

func newWitness(id sillid.GatewayID, t *silltable.Store, m *sillusage.Metrics) *witness {
	return &witness{
		RecordBackup: sillusage.NewRecordBackup(sillusage.RecordBackupConfig{
			Gateway: id,
			Limit:   sillusage.DefaultRecordBackupLimit,
			Store:   t,
			Metrics: m,
		}),
		meters: make(map[sillid.TargetID]*heardMeter),
	}
}

// add keeps the record that came with the end of an answer.
func (w *witness) add(r *sillwire.UsageRecord) {
	w.Add(sillusage.Record{
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

// heard takes an agent's heartbeat in.
func (w *witness) heard(now time.Time, p *sillwire.Pong) {
	w.Trim(sillusage.DurableSequence{Agent: p.Meter, Sequence: p.DurableSequence})
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.meters[p.Target]
	if m != nil && m.name != p.Meter {
		w.MarkAgentDead(m.name)
	}
	if m == nil || m.name != p.Meter {
		m = &heardMeter{name: p.Meter}
		w.meters[p.Target] = m
	}
	m.at = now
	m.dead = false
}

// sweep gives up meters that were silent for longer than the limit.
func (w *witness) sweep(now time.Time, limit time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.meters {
		if !m.dead && now.Sub(m.at) > limit {
			m.dead = true
			w.MarkAgentDead(m.name)
		}
	}
}

// run writes the records of dead agents until ctx ends, and then those of agents that
// are silent, which nobody else may hold.
func (w *witness) run(ctx context.Context, log *zap.Logger) {
	sillgroup.Every(ctx, witnessInterval, func(now time.Time) {
		w.sweep(now, meterSilence)
		if err := w.Flush(ctx); err != nil && ctx.Err() == nil {
			log.Debug("could not write the records of dead agents", zap.Error(err))
		}
	})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlushLimit)
	defer cancel()
	w.sweep(time.Now(), sillwire.SilenceLimit)
	if err := w.Flush(ctx); err != nil {
		log.Warn("could not write the records of silent agents; their use is not reported", zap.Error(err))
	}
}

// usageModule holds the gateway's part in metering and the usage task.
func usageModule() fx.Option {
	return fx.Options(
		fx.Provide(newWitness, sillusage.NewMetrics, newBilling, newUsageTask),
		fx.Invoke(startUsage),
	)
}

func newBilling(s *sillsettings.Gateway) *sillbilling.Client {
	return sillbilling.Dial(sillcall.Config{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Duration()})
}

// usageParts is what the usage task needs.
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
			CloseDelay:   c.UsageGrace.Duration() / closeDelayShare,
			DeadAfter:    c.UsageGrace.Duration(),
			OrphanGrace:  c.UsageGrace.Duration() / orphanGraceShare,
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
		Interval:     min(usageInterval, c.UsageWindow.Duration()/2),
		CollectEvery: collectEvery,
		SettleTime:   2 * p.Settings.Platform.Timeout.Duration(),
		Logger:       log,
	})
}

// The grace for dead agents is split: a window waits a third of it for late
// flushes, and half of it for the records of an agent that gateways gave up.
const (
	closeDelayShare  = 3
	orphanGraceShare = 2
)

func startUsage(lc fx.Lifecycle, b background, c controlTasks, w *witness, l *leases, t *sillusage.Task, log *zap.Logger) {
	lc.Append(fx.StartHook(func() {
		b.Go(func(ctx context.Context) { w.run(ctx, log.Named("usage")) })
		l.keep(c, leaseTask{name: usageLease, run: func(ctx context.Context, g silllease.Guard) { t.Run(ctx, g) }})
	}))
}
