package silldirect

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillforward"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillmeter"
	"github.com/wasabisill/wasabisill/internal/sillrelay"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/sillversion"
	"github.com/wasabisill/wasabisill/internal/sillwatch"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// feedWait is how long one call of a feed waits; a silent connection is
	// found after it and feedAnswer.
	feedWait = 800 * time.Millisecond
	// feedAnswer bounds a call of a feed beyond its wait.
	feedAnswer = 500 * time.Millisecond
	// pauseFast and pauseSlow are the times for which changes gather before a
	// feed is asked again: fast for jobs and configuration, slow for the rest.
	pauseFast = 15 * time.Millisecond
	pauseSlow = 150 * time.Millisecond
	// tidyEvery is how often caches, connections and lapsed targets are looked at.
	tidyEvery = 250 * time.Millisecond
	// renewTimeout bounds the renewal of the process's row.
	renewTimeout = 600 * time.Millisecond
)

// Lease of the duties. A former holder's term ends a margin before its row may
// be taken over; together with dutySettle no three holders act within the
// bound of the platform.
const (
	dutyLease     = 2 * time.Second
	dutyMargin    = 150 * time.Millisecond
	dutyRenew     = 500 * time.Millisecond
	dutyPoll      = 700 * time.Millisecond
	dutyPollMost  = 2 * time.Second
	dutyCall      = 500 * time.Millisecond
	dutyName      = "duties"
	leaseHalf     = 2
	settleBeyond  = 100 * time.Millisecond
	usageSettle   = 4 * time.Second
	headerTimeout = 10 * time.Second
	// callerIdle is how long a caller's connection may rest; callers close theirs before.
	callerIdle = 75 * time.Second
)

// Times of a planned stop.
const (
	// balancerNotice is the time in which the balancer learns that the process is
	// not ready: two checks, one a second.
	balancerNotice = 2500 * time.Millisecond
	// stopMargin is what is left of the grace when the last requests are cut.
	stopMargin = 800 * time.Millisecond
)

// Service is a gateway without agents.
type Service struct {
	// Log is the logger of the process.
	Log *zap.Logger
	// Addresses is set once the gateway has started.
	Addresses Addresses
	// Forwarder, Runner and Reader serve callers.
	Forwarder *sillforward.Forwarder
	Runner    *silljob.Runner
	Reader    *silljob.Reader

	settings *Settings
	seams    *Seams
	view     *view
	members  *sillcluster.Members
	run      sillcluster.Run
	relay    *sillrelay.Relay
	// table and feed are the platform's tables, through a peer if need be.
	table    *silltable.Store
	feed     *silltable.Feed
	meter    *sillmeter.Meter
	cache    *silljob.Cache
	jobs     *sillwatch.Follower
	registry *prometheus.Registry
	stopping atomic.Bool
	renewals atomic.Uint64
}

// Addresses are the addresses that a started gateway got.
type Addresses struct {
	Callers string
	Ready   string
	Peers   string
}

// New wires a gateway.
func New(settings *Settings, seams *Seams, log *zap.Logger) *Service {
	s := &Service{
		Log: log, settings: settings, seams: seams, view: newView(seams, log),
		members: sillcluster.NewMembers(), run: sillcluster.Run(sillid.Fresh("run")),
		cache: silljob.NewCache(), registry: prometheus.NewRegistry(),
	}
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	s.relay = sillrelay.New(sillrelay.Config{
		Table: seams.Table, Feed: seams.Feed, Pool: seams.Peers, Peers: s.peers, ProbeKey: seams.ConfigKey,
		Registerer: s.registry, Log: log,
	})
	s.table, s.feed = s.relay.Table(), s.relay.Feed()
	s.meter = sillmeter.NewMeter(sillmeter.MeterConfig{
		Table: s.table, Length: settings.UsageWindow, Run: string(s.run), Log: log,
	})
	s.Forwarder = sillforward.New(sillforward.Config{
		Directory: s.view.directory, Pool: seams.Targets, Dialect: seams.Dialect, Zone: settings.Zone,
		Began: s.began, Metrics: sillforward.NewMetrics(s.registry), Log: log,
	})
	s.jobs = s.follower(silljob.StateTable, true, pauseFast, s.resetJobs, s.applyJobs)
	store := &silljob.Store{Table: s.table, Feed: s.feed}
	s.Reader = &silljob.Reader{Store: store, Board: s.view.board, Cache: s.cache, Age: s.boardAge}
	s.Runner = silljob.NewRunner(silljob.RunnerConfig{
		Self: silljob.NodeRun(s.run), Store: store, Board: s.view.board, Cache: s.cache,
		Directory: s.view.directory, Pool: seams.Targets, Dialect: seams.Dialect,
		Forwarder: s.Forwarder, Catalog: s.view.catalog, Zone: settings.Zone,
		Owner: s.owner, Rank: s.rank, Alive: s.alive,
		Metrics: silljob.NewMetrics(s.registry), Log: log,
	})
	return s
}

// Catalog returns the configuration in force, or nil if none is known yet.
func (s *Service) Catalog() *sillcatalog.Catalog { return s.view.catalog.Get() }

// Ready returns whether the process takes new callers.
func (s *Service) Ready() bool { return !s.stopping.Load() && s.Catalog() != nil }

// metricsHandler serves the counters of the process.
func (s *Service) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{}))
	return mux
}

// listenMetrics opens the address of the counters; nil if there is none.
func (s *Service) listenMetrics() (net.Listener, error) {
	if s.settings.Metrics == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", s.settings.Metrics)
	return l, eris.Wrapf(err, "silldirect.listenMetrics: %s", s.settings.Metrics)
}

func (s *Service) began(organisation sillid.OrganisationID, at time.Time) {
	if s.settings.ReportsUsage {
		s.meter.Began(organisation, at)
	}
}

func (s *Service) boardAge() (time.Duration, bool) { return s.jobs.Age(sillclock.Boot()) }

// owner returns the process that is to run new jobs of a model: one for all of
// them, so that connections, caches and the queue of a model stand in one place.
func (s *Service) owner(model sillid.ModelID) silljob.NodeRun {
	if m, ok := s.members.First(sillclock.Boot(), string(model)); ok {
		return silljob.NodeRun(m.Run)
	}
	return silljob.NodeRun(s.run)
}

func (s *Service) rank(model sillid.ModelID) (int, bool) {
	return s.members.Rank(sillclock.Boot(), string(model), s.settings.Instance)
}

func (s *Service) alive(run silljob.NodeRun) bool {
	return s.members.Alive(sillclock.Boot(), sillcluster.Run(run))
}

// peers returns the other gateways, those of this availability zone in front.
func (s *Service) peers() []string {
	var near, far []string
	for _, m := range s.members.Live(sillclock.Boot()) {
		switch {
		case m.Instance == s.settings.Instance:
		case m.Zone == s.settings.Zone:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// follower returns a follower of one table.
func (s *Service) follower(table string, partitioned bool, gather time.Duration, reset func([]silltable.Row, time.Duration), apply func([]silltable.Change, time.Duration)) *sillwatch.Follower {
	return sillwatch.New(sillwatch.Config{
		Feed: s.feed, Table: table, Partitioned: partitioned,
		Wait: feedWait, Answer: feedAnswer, Pause: gather,
		Reset: reset, Apply: apply, Log: s.Log, Now: sillclock.Boot,
	})
}

func (s *Service) resetJobs(rows []silltable.Row, _ time.Duration) {
	if err := s.view.board.Apply(rows); err != nil {
		s.Log.Error("Job state can't be read.", silllog.Err(err))
	}
}

func (s *Service) applyJobs(changes []silltable.Change, outage time.Duration) {
	s.resetJobs(rowsOf(changes), outage)
}

func rowsOf(changes []silltable.Change) []silltable.Row {
	rows := make([]silltable.Row, 0, len(changes))
	for _, c := range changes {
		if !c.Removed {
			rows = append(rows, c.Row)
		}
	}
	return rows
}

func (s *Service) resetOperator(rows []silltable.Row, _ time.Duration) { s.view.applyOperator(rows) }

func (s *Service) applyOperator(changes []silltable.Change, _ time.Duration) {
	s.view.applyOperator(rowsOf(changes))
}

func (s *Service) resetMembers(rows []silltable.Row, _ time.Duration) {
	if err := s.members.Reset(sillclock.Boot(), rows); err != nil {
		s.Log.Error("Row of a gateway can't be read.", silllog.Err(err))
	}
}

func (s *Service) applyMembers(changes []silltable.Change, outage time.Duration) {
	now := sillclock.Boot()
	if outage > 0 {
		s.members.Refresh(now)
	}
	if err := s.members.Apply(now, changes); err != nil {
		s.Log.Error("Row of a gateway can't be read.", silllog.Err(err))
	}
}

// followers returns the followers of all tables.
func (s *Service) followers() []*sillwatch.Follower {
	return []*sillwatch.Follower{
		s.follower(s.seams.Operator, false, pauseFast, s.resetOperator, s.applyOperator),
		s.follower(s.seams.Registry, false, pauseSlow, s.view.resetTargets, s.view.applyTargets),
		s.follower(sillcluster.Table, false, pauseSlow, s.resetMembers, s.applyMembers),
		s.jobs,
	}
}

// renew keeps the process's row up to date until ctx ends, then says that the
// process leaves.
func (s *Service) renew(ctx context.Context) {
	ticker := time.NewTicker(sillcluster.RenewEvery)
	defer ticker.Stop()
	for {
		s.writeMember(ctx, false)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) writeMember(ctx context.Context, leaving bool) {
	m := sillcluster.Member{
		Instance: s.settings.Instance, Run: s.run, Address: s.Addresses.Peers, Zone: s.settings.Zone,
		Leaving: leaving, Renewal: s.renewals.Add(1),
	}
	write, err := sillcluster.Encode(m)
	if err != nil {
		s.Log.Error("Row of this gateway can't be encoded.", silllog.Err(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	if _, err := s.table.Commit(ctx, silltable.Txn{Writes: []silltable.Write{write}}); err != nil {
		s.Log.Info("Row of this gateway not renewed.", zap.Bool("leaving", leaving), silllog.Err(err))
	}
}

// tidy expires what is kept for a time only.
func (s *Service) tidy(ctx context.Context) {
	ticker := time.NewTicker(tidyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.cache.Expire()
			s.seams.Targets.Sweep(now)
			for _, id := range s.view.directory.Expire(now) {
				s.Log.Info("Target did not register again.", zap.String("target", string(id)))
			}
		}
	}
}

// duties competes for the lease of the duties and carries them out.
func (s *Service) duties(ctx context.Context) {
	runner := silllease.NewRunner(silllease.RunnerConfig{
		Lease: silllease.Config{
			Name: dutyName, Owner: silllease.Owner(s.run), Duration: dutyLease, Margin: dutyMargin,
			RenewEvery: dutyRenew, PollEvery: dutyPoll, MaxPollEvery: dutyPollMost,
			Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Store: s.table, Now: sillclock.Boot, Rank: s.dutyRank, CallTimeout: dutyCall,
		SettleTime: s.settings.LeaseBound/leaseHalf + settleBeyond,
		Task:       s.carryOutDuties, Log: s.Log, Metrics: silllease.NewMetrics(s.registry),
	})
	runner.Run(ctx)
}

func (s *Service) dutyRank() int {
	rank, _ := s.members.Rank(sillclock.Boot(), dutyName, s.settings.Instance)
	return rank
}

// carryOutDuties runs while this process holds the lease.
func (s *Service) carryOutDuties(ctx context.Context, guard silllease.Guard) {
	group := sillgroup.New(ctx)
	defer group.Stop()
	controller := sillversion.NewController(sillversion.Config{
		Engines: s.view.engines, Wanted: s.view.wanted,
		Order: s.seams.Order, Report: s.seams.Report, Now: sillclock.Boot, Log: s.Log,
	})
	group.Go(func(ctx context.Context) { controller.Run(ctx, guard) })
	if s.settings.ReportsUsage {
		reporter := sillmeter.NewReporter(sillmeter.ReporterConfig{
			Table: s.table, Length: s.settings.UsageWindow, Settle: usageSettle, Late: s.settings.UsageLate,
			Send: s.usageSender(guard), Log: s.Log,
		})
		group.Go(reporter.Run)
	}
	<-ctx.Done()
}

// errNotHolder is returned for a report that the lease no longer covers.
var errNotHolder = errors.New("the lease of the duties is over")

// usageSender sends reports while the lease lasts.
func (s *Service) usageSender(guard silllease.Guard) func(context.Context, sillmeter.Window, sillmeter.Counts) error {
	return func(ctx context.Context, w sillmeter.Window, counts sillmeter.Counts) error {
		if !guard.MayAct(sillclock.Boot().Add(dutyCall)) {
			return errNotHolder
		}
		ctx, cancel := context.WithTimeout(ctx, dutyCall)
		defer cancel()
		return s.seams.SendUsage(ctx, w, counts, guard.Epoch)
	}
}

// Run serves until ctx ends, and then stops within the grace. It calls started
// once it listens.
func (s *Service) Run(ctx context.Context, started func()) error {
	callers, err := net.Listen("tcp", s.settings.Callers)
	if err != nil {
		return eris.Wrapf(err, "silldirect.Run: callers' address %s", s.settings.Callers)
	}
	ready, err := net.Listen("tcp", s.settings.Ready)
	if err != nil {
		return eris.Wrapf(err, "silldirect.Run: readiness address %s", s.settings.Ready)
	}
	peers, err := net.Listen("tcp", s.settings.peerAddress())
	if err != nil {
		return eris.Wrapf(err, "silldirect.Run: address for other gateways %s", s.settings.peerAddress())
	}
	metrics, err := s.listenMetrics()
	if err != nil {
		return err
	}
	s.Addresses = Addresses{
		Callers: callers.Addr().String(), Ready: ready.Addr().String(), Peers: peers.Addr().String(),
	}
	background := sillgroup.New(context.WithoutCancel(ctx))
	work := sillgroup.New(context.WithoutCancel(ctx))
	for _, f := range s.followers() {
		background.Go(f.Run)
	}
	background.Go(s.tidy)
	work.Go(s.renew)
	work.Go(s.Runner.Run)
	work.Go(s.duties)
	if s.settings.ReportsUsage {
		background.Go(s.meter.Run)
	}
	server := &http.Server{Handler: s.seams.Handler(s), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	readyServer := &http.Server{Handler: s.seams.ReadyHandler(s), ReadHeaderTimeout: headerTimeout}
	peerServer := &http.Server{Handler: s.relay.Handler(), ReadHeaderTimeout: headerTimeout}
	background.Go(s.relay.Run)
	background.Go(func(context.Context) { _ = peerServer.Serve(peers) })
	background.Go(func(context.Context) { _ = server.Serve(callers) })
	background.Go(func(context.Context) { _ = readyServer.Serve(ready) })
	metricsServer := &http.Server{Handler: s.metricsHandler(), ReadHeaderTimeout: headerTimeout}
	if metrics != nil {
		background.Go(func(context.Context) { _ = metricsServer.Serve(metrics) })
	}
	s.Log.Info("Started.", zap.String("instance", string(s.settings.Instance)), zap.String("run", string(s.run)),
		zap.String("callers", s.Addresses.Callers), zap.String("zone", string(s.settings.Zone)))
	started()
	<-ctx.Done()
	s.stop(work, background, server, readyServer, peerServer, metricsServer)
	return nil
}

// stop hands work over, lets the balancer notice, and ends once every request
// is answered or the grace is nearly over.
func (s *Service) stop(work, background *sillgroup.Group, server *http.Server, others ...*http.Server) {
	deadline := time.Now().Add(s.settings.Grace - stopMargin)
	s.stopping.Store(true)
	s.Log.Info("Stopping.", zap.Duration("grace", s.settings.Grace))
	s.writeMember(context.Background(), true)
	work.Cancel()
	time.Sleep(balancerNotice)
	server.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		s.Log.Warn("Requests were cut at the end of the grace.", silllog.Err(err))
		_ = server.Close()
	}
	work.Wait()
	for _, o := range others {
		_ = o.Close()
	}
	background.Stop()
	s.Log.Info("Stopped.")
}
