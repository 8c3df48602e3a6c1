package silldirectgateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillforwarder"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillmeter"
	"github.com/wasabisill/wasabisill/internal/sillrelay"
)

const (
	// headerTimeout bounds the time for which a caller sends a header.
	headerTimeout = 10 * time.Second
	// callerIdle is how long a caller's connection may rest; callers close theirs before.
	callerIdle = 75 * time.Second
	// tidyEvery is how often caches, connections and lapsed targets are looked at.
	tidyEvery = 250 * time.Millisecond
	// balancerNotice is the time in which the balancer learns that the process is
	// not ready: two checks, one a second.
	balancerNotice = 2500 * time.Millisecond
	// stopMargin is what is left of the grace when the last requests are cut.
	stopMargin = 800 * time.Millisecond
)

// Addresses are the addresses that a started gateway got.
type Addresses struct {
	Callers string
	Ready   string
	Peers   string
}

// Service is a gateway without agents.
type Service struct {
	// Log is the logger of the process.
	Log *zap.Logger
	// Addresses is set once the gateway has started.
	Addresses Addresses
	// Forwarder, Runner and Reader serve callers.
	Forwarder *sillforwarder.Forwarder
	Runner    *silljob.Runner
	Reader    *silljob.Reader

	settings  *Settings
	seams     *Adapter
	app       *fx.App
	view      *view
	members   *membership
	meter     *sillmeter.Meter
	cache     *silljob.Cache
	relay     *sillrelay.Relay
	tables    tables
	followers *followers
	duties    *duties
	registry  *prometheus.Registry
	stopping  atomic.Bool
	// work is what is handed over at a stop; background goes on until its end.
	work, background *sillgroup.Group
	servers          servers
}

// New wires a gateway from valid settings.
func New(settings *Settings, seams *Adapter, log *zap.Logger) *Service {
	s := &Service{Log: log, settings: settings, seams: seams}
	s.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(settings.GracePeriod),
		fx.StopTimeout(settings.GracePeriod),
		fx.Supply(settings, seams, log),
		fx.Provide(
			newRegistry, newMembership, newRelay, newTables, newView, newMeter, newFollowers,
			newForwarder, silljob.NewCache, newStore, newReader, newRunnerParts, newRunner, newDuties,
		),
		fx.Populate(
			&s.registry, &s.members, &s.relay, &s.tables, &s.view, &s.meter, &s.followers,
			&s.Forwarder, &s.cache, &s.Reader, &s.Runner, &s.duties,
		),
		fx.Invoke(func(lc fx.Lifecycle) { lc.Append(fx.Hook{OnStart: s.start, OnStop: s.stop}) }),
	)
	return s
}

// Catalog returns the configuration in force, or nil if none is known yet.
func (s *Service) Catalog() *sillcatalog.Catalog { return s.view.catalog.Get() }

// Register adds metrics of the process to those of the gateway.
func (s *Service) Register(c prometheus.Collector) { s.registry.MustRegister(c) }

// Ready returns whether the process takes new callers.
func (s *Service) Ready() bool { return !s.stopping.Load() && s.Catalog() != nil }

// Run serves until ctx ends, and then stops within the grace. It calls started
// once it listens.
func (s *Service) Run(ctx context.Context, started func()) error {
	if err := s.app.Start(ctx); err != nil {
		return eris.Wrap(err, "silldirectgateway.Run")
	}
	started()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settings.GracePeriod)
	defer cancel()
	return eris.Wrap(s.app.Stop(stopCtx), "silldirectgateway.Run")
}

// start opens the addresses and starts the parts.
func (s *Service) start(context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	s.members.address = s.Addresses.Peers
	s.members.busy = s.view.busy
	s.background = sillgroup.New(context.Background())
	s.work = sillgroup.New(context.Background())
	for _, f := range s.followers.all() {
		s.background.Go(f.Run)
	}
	s.background.Go(s.relay.Run)
	s.background.Go(s.tidy)
	if s.settings.ReportsUsage {
		s.background.Go(s.meter.Run)
	}
	s.work.Go(func(ctx context.Context) { s.members.renew(ctx, s.tables.store) })
	s.work.Go(s.Runner.Run)
	s.work.Go(s.duties.run)
	s.servers.serve(s.background)
	s.Log.Info("Started.", zap.String("instance", string(s.settings.Instance)), zap.String("run", string(s.members.run)),
		zap.String("callers", s.Addresses.Callers), zap.String("zone", string(s.settings.Zone)))
	return nil
}

// stop hands work over, lets the balancer notice, and ends once every request
// is answered or the grace is nearly over.
func (s *Service) stop(ctx context.Context) error {
	deadline := time.Now().Add(s.settings.GracePeriod - stopMargin)
	s.stopping.Store(true)
	s.Log.Info("Stopping.", zap.Duration("grace", s.settings.GracePeriod))
	s.members.write(ctx, s.tables.store, true)
	s.work.Cancel()
	time.Sleep(min(balancerNotice, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := s.servers.callers.shutdown(ctx); err != nil {
		s.Log.Warn("Requests were cut at the end of the grace.", silllog.Err(err))
	}
	s.work.Wait()
	s.servers.close()
	s.background.Stop()
	s.Log.Info("Stopped.")
	return nil
}

// tidy expires what is kept for a time only.
func (s *Service) tidy(ctx context.Context) {
	sillgroup.Every(ctx, tidyEvery, func(now time.Time) {
		s.cache.Expire()
		s.seams.TargetPool.CloseExpired(now)
		for _, id := range s.view.directory.Expire(now) {
			s.Log.Info("Target did not register again.", zap.String("target", string(id)))
		}
	})
}

// listen opens every address of the process.
func (s *Service) listen() error {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	err := s.servers.open(
		opening{&s.servers.callers, s.settings.CallerAddress, s.seams.Handler(s)},
		opening{&s.servers.ready, s.settings.ReadyAddress, s.seams.ReadyHandler(s)},
		opening{&s.servers.peers, s.settings.peerAddress(), s.relay.Handler()},
		opening{&s.servers.metrics, s.settings.MetricsAddress, metrics},
	)
	if err != nil {
		return err
	}
	s.Addresses = Addresses{
		Callers: s.servers.callers.address(), Ready: s.servers.ready.address(), Peers: s.servers.peers.address(),
	}
	return nil
}
