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

	"github.com/wasabisill/wasabisill/internal/sillbudget"
	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillexplanation"
	"github.com/wasabisill/wasabisill/internal/sillforwarder"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillgroupcommit"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/sillmeter"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrelay"
	"github.com/wasabisill/wasabisill/internal/sillserver"
)

const (
	// headerTimeout is the largest time limit for reading a request header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the size limit of a request header if the configuration sets none, and
	// maxHeaderBytesLimit is the largest that it may set.
	maxHeaderBytes      = 16 << 10
	maxHeaderBytesLimit = 64 << 10
	// callerIdleTimeout is how long a caller's connection may be idle. It is longer
	// than the idle timeout of callers, so that they close their connections first.
	callerIdleTimeout = 75 * time.Second
	// cleanupInterval is the time between two removals of expired cache entries,
	// idle connections and targets that are missing from the registry.
	cleanupInterval = 250 * time.Millisecond
	// balancerCheckDelay is the time until the load balancer has noticed that the
	// process is not ready: it needs two checks and makes one a second.
	balancerCheckDelay = 2500 * time.Millisecond
	// stopMargin is the part of the grace period that remains when the last requests
	// are aborted.
	stopMargin = 800 * time.Millisecond
)

// bodyShare is the share of the process's memory that bodies and unread answers may take. Each
// costs up to twice its bytes while its pieces are joined. A larger body is served alone.
const bodyShare = 0.18

// Addresses are the addresses that a started gateway listens on.
type Addresses struct {
	Callers string
	Ready   string
	Peers   string
	// Metrics is empty if metrics are not served.
	Metrics string
}

// Service is a gateway that calls targets directly, without agents.
type Service struct {
	// Log is the logger of the process.
	Log *zap.Logger
	// Addresses is set once the gateway has started.
	Addresses Addresses
	// Forwarder, Runner and Reader are used by the handler of callers' requests.
	Forwarder *sillforwarder.Forwarder
	Runner    *silljob.Runner
	Reader    *silljob.Reader

	settings     *Settings
	adapter      *Adapter
	app          *fx.App
	view         *view
	members      *membership
	meter        *sillmeter.Meter
	cache        *silljob.Cache
	store        *silljob.Store
	relay        *sillrelay.Relay
	evidence     *crashEvidence
	leaving      *leavingTargets
	limits       *targetLimits
	coldLog      *coldLog
	broker       *sillpermit.Broker
	tables       tables
	committer    *sillgroupcommit.Committer
	followers    *followers
	controlTasks *controlTasks
	retention    *silljob.Retention
	registry     *prometheus.Registry
	stopping     atomic.Bool
	// startedAt is when the gateway began to read the platform's tables.
	startedAt time.Time
	stopTime  *stopTime
	// work holds the goroutines that end first at a stop, when other gateways take
	// over jobs and control tasks; background holds those that run until its end.
	work, background *sillgroup.Group
	servers          servers
}

// New returns a gateway. The settings must be valid.
func New(settings *Settings, adapter *Adapter, log *zap.Logger) *Service {
	s := &Service{Log: log, settings: settings, adapter: adapter, stopTime: newStopTime()}
	s.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(settings.GracePeriod),
		fx.StopTimeout(settings.GracePeriod),
		fx.Supply(settings, adapter, log),
		fx.Provide(
			newRegistry, newCrashEvidence, newDirectory, newLeavingTargets, newTargetLimits, newMembership, newBroker, newColdLog, newRelay, newTables, newCommitter, newView, newMeter, newFollowers,
			newForwarder, newJobCache, newJobMetrics, newStore, newReader, newRunnerParts, newRunner, newHomeRetention, newControlTasks,
		),
		fx.Populate(
			&s.registry, &s.evidence, &s.leaving, &s.limits, &s.broker, &s.coldLog, &s.members, &s.relay, &s.tables, &s.committer, &s.view, &s.meter, &s.followers,
			&s.Forwarder, &s.cache, &s.store, &s.Reader, &s.Runner, &s.retention, &s.controlTasks,
		),
		fx.Invoke(func(lc fx.Lifecycle) { lc.Append(fx.Hook{OnStart: s.start, OnStop: s.stop}) }),
	)
	return s
}

// Catalog returns the configuration in force, or nil if none is known yet.
func (s *Service) Catalog() *sillcatalog.Catalog { return s.view.catalog.Get() }

// MemoryBytes returns the memory that the process may use; 0 if unknown.
func (s *Service) MemoryBytes() int64 { return s.settings.MemoryBytes }

// MaxDescriptors returns the number of descriptors that the process may open; 0 for no limit.
func (s *Service) MaxDescriptors() int { return s.settings.MaxDescriptors }

// LiveGateways returns the number of gateways that are known to be alive, this one
// included.
func (s *Service) LiveGateways() int { return s.members.countLive() }

// Register adds a collector to the metrics of the gateway. It panics if the collector
// is already registered.
func (s *Service) Register(c prometheus.Collector) { s.registry.MustRegister(c) }

// Stopping returns whether the gateway has begun to stop.
func (s *Service) Stopping() bool { return s.stopping.Load() }

// Run serves until ctx ends, and then stops within the grace period. It calls started
// once the gateway listens on all addresses.
func (s *Service) Run(ctx context.Context, started func()) error {
	// A start that has opened listeners is completed, so that the stop is orderly.
	startCtx, cancelStart := context.WithTimeout(context.WithoutCancel(ctx), s.settings.GracePeriod)
	defer cancelStart()
	if err := s.app.Start(startCtx); err != nil {
		return eris.Wrap(err, "silldirectgateway.Run")
	}
	started()
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settings.GracePeriod)
	defer cancel()
	return eris.Wrap(s.app.Stop(stopCtx), "silldirectgateway.Run")
}

// start opens the listeners and starts the goroutines of the gateway.
func (s *Service) start(context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	s.startedAt = sillclock.Boot()
	s.members.address = s.Addresses.Peers
	s.members.membersAge = s.followers.membersAge
	s.members.tableFails = func(within time.Duration) bool { return s.relay.FailedWithin(within) && !s.stopping.Load() }
	s.members.poolLoads = s.view.poolLoads
	s.members.committer = s.committer
	s.background = sillgroup.New(context.Background())
	s.work = sillgroup.New(context.Background())
	for _, f := range s.followers.all() {
		s.background.Go(f.Run)
	}
	s.background.Go(s.relay.Run)
	s.background.Go(s.committer.Run)
	s.background.Go(func(ctx context.Context) { s.members.shareCrashes(ctx, s.tables.store) })
	s.background.Go(s.cleanUp)
	if s.settings.ReportsUsage {
		s.background.Go(s.meter.Run)
	}
	s.work.Go(func(ctx context.Context) { s.members.renew(ctx, s.tables.store) })
	s.work.Go(s.Runner.Run)
	s.work.Go(s.controlTasks.run)
	s.work.Go(s.retention.Run)
	s.servers.serve(s.background)
	s.Log.Info("Started.", zap.String("instance", string(s.settings.Instance)), zap.String("run", string(s.members.run)),
		zap.String("callers", s.Addresses.Callers), zap.String("zone", string(s.settings.Zone)))
	return nil
}

// stop ends the work that other gateways take over, waits until the load balancer
// has noticed that the process is not ready, and returns once every request is
// complete or stopMargin remains of the grace period.
func (s *Service) stop(ctx context.Context) error {
	started := time.Now()
	deadline := started.Add(s.settings.GracePeriod - stopMargin)
	s.stopTime.begin(deadline)
	s.servers.drain()
	s.stopping.Store(true)
	s.Log.Info("Stopping.", zap.Duration("grace", s.settings.GracePeriod))
	s.members.write(ctx, s.tables.store, true)
	s.work.Cancel()
	time.Sleep(min(time.Until(started.Add(balancerCheckDelay)), time.Until(deadline)))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	s.Log.Info("Closing the listener of callers.")
	if cut := s.servers.shutdown(ctx); cut > 0 {
		s.Log.Warn("Requests were cut at the end of the grace.", zap.Int("cut", cut))
	}
	s.work.Wait()
	s.servers.close()
	s.background.Stop()
	s.Log.Info("Stopped.")
	return nil
}

// cleanUp removes expired cache entries, crash evidence, idle connections and targets,
// and resolves attempts without a response, periodically until ctx ends.
func (s *Service) cleanUp(ctx context.Context) {
	sillgroup.Every(ctx, cleanupInterval, func(now time.Time) {
		s.cache.Expire()
		s.store.Expire()
		s.Forwarder.ResolveSilentTargets(now)
		s.evidence.suspects.RemoveExpired()
		s.broker.Forget()
		s.coldLog.write(now)
		s.adapter.TargetPool.CloseExpired(now)
		s.adapter.PeerPool.CloseExpired(now)
		s.applyHeadLimits()
		for _, id := range s.view.directory.Expire(now) {
			s.Log.Info("Target did not register again.", zap.String("target", string(id)))
		}
	})
}

// applyHeadLimits applies the limits of the configuration to callers' requests.
func (s *Service) applyHeadLimits() {
	c := s.Catalog()
	if c == nil {
		return
	}
	l := headLimits
	l.Idle = c.Limits.IdleTimeout
	if t := c.Limits.HeaderTimeout; t > 0 {
		l.Timeout = t
	}
	if n := c.Limits.HeaderBytes; n > 0 {
		l.Bytes = n
	}
	s.servers.callers.SetHeadLimits(l)
}

// listen opens the listeners and sets s.Addresses.
func (s *Service) listen() error {
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	metrics.HandleFunc("POST "+sillexplanation.Path, s.serveExplanation)
	budget := sillbudget.New(int64(bodyShare*float64(s.settings.MemoryBytes)), sillbudget.NewMetrics(s.registry))
	n := s.settings.MaxDescriptors
	control := sillserver.ControlLimits(n)
	err := s.servers.open(budget, sillserver.NewMetrics(s.registry), s.Log,
		listenSpec{&s.servers.callers, "callers", s.settings.CallerAddress, s.holdUntilRead(s.adapter.Handler(s)), sillserver.CallerLimits(n)},
		listenSpec{&s.servers.ready, "readiness", s.settings.ReadyAddress, s.adapter.ReadyHandler(s), control},
		listenSpec{&s.servers.peers, "peers", s.settings.peerAddress(), s.peerHandler(), sillserver.PeerLimits(n)},
		listenSpec{&s.servers.metrics, "metrics", s.settings.MetricsAddress, metrics, control},
	)
	if err != nil {
		return err
	}
	s.Addresses = Addresses{
		Callers: s.servers.callers.Address(), Ready: s.servers.ready.Address(), Peers: s.servers.peers.Address(),
	}
	if s.servers.metrics != nil {
		s.Addresses.Metrics = s.servers.metrics.Address()
	}
	return nil
}

// peerHandler returns the handler of calls of other gateways.
func (s *Service) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", s.relay.Handler())
	mux.HandleFunc("POST "+evidencePath, s.evidence.serve)
	mux.Handle("POST "+sillgroupcommit.Path, s.committer)
	mux.HandleFunc("POST "+leavingPath, s.leaving.serve)
	mux.HandleFunc("POST "+limitsPath, s.limits.serve)
	mux.Handle("POST "+sillpermit.Path, s.broker)
	mux.HandleFunc("GET "+runPath, s.members.serveRun)
	return mux
}
