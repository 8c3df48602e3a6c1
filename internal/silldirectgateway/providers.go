package silldirectgateway

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillforwarder"
	"github.com/wasabisill/wasabisill/internal/sillgroupcommit"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillmeter"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrelay"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// jobHandoverTime is how long a gateway that stops goes on to pass new jobs on. The others
// read within that time that it stops.
const jobHandoverTime = time.Second

// bufferShare is the share of the process's memory that responses may take while they
// are read.
const bufferShare = 0.125

const (
	// itemShare is the share of the process's memory that the unfinished items of its jobs may
	// take, and resultShare that of cached results. The others are read from the store when they
	// are needed.
	itemShare   = 0.1
	resultShare = 0.05
)

// newRegistry returns the registry of the process's metrics.
func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// tables are the platform's tables, called through a peer while the service is
// unreachable.
type tables struct {
	store *silltable.Store
	feed  *silltable.Feed
}

func newRelay(adapter *Adapter, m *membership, r *prometheus.Registry, log *zap.Logger) *sillrelay.Relay {
	return sillrelay.New(sillrelay.Config{
		Table: adapter.Table, Feed: adapter.Feed, Pool: adapter.PeerPool, Peers: m.peers, RegionPeers: m.regionPeers, ProbeKey: adapter.ConfigKey,
		Registerer: r, Log: log,
	})
}

func newTables(r *sillrelay.Relay) tables {
	return tables{store: r.Table(), feed: r.Feed()}
}

func newCommitter(adapter *Adapter, t tables, m *membership, r *prometheus.Registry, log *zap.Logger) *sillgroupcommit.Committer {
	return sillgroupcommit.New(sillgroupcommit.Config{
		Table: t.store, Leader: m.commitLeader, Now: sillclock.Boot, Registerer: r, Log: log,
		Post: func(ctx context.Context, address, path string, body []byte) bool {
			return postToPeer(ctx, adapter.PeerPool, address, path, body)
		},
	})
}

// commitUsage returns a function that writes usage counts. Their table has one partition.
func commitUsage(c *sillgroupcommit.Committer) func(context.Context, []silltable.Write) error {
	return func(ctx context.Context, writes []silltable.Write) error { return c.Commit(ctx, "", writes) }
}

func newMeter(s *Settings, c *sillgroupcommit.Committer, m *membership, log *zap.Logger) *sillmeter.Meter {
	return sillmeter.NewMeter(sillmeter.MeterConfig{Commit: commitUsage(c), WindowLength: s.UsageWindow, RunID: string(m.run), Log: log})
}

func newForwarder(s *Settings, adapter *Adapter, v *view, m *sillmeter.Meter, e *crashEvidence, b *sillpermit.Broker, r *prometheus.Registry, log *zap.Logger) *sillforwarder.Forwarder {
	recordStarted := m.RecordStarted
	if !s.ReportsUsage {
		recordStarted = func(sillid.OrganisationID, time.Time) {}
	}
	return sillforwarder.New(sillforwarder.Config{
		Directory: v.directory, Pool: adapter.TargetPool, Codec: adapter.Codec, Zone: s.Zone,
		OnStarted: recordStarted, Suspects: e.suspects, OnEvidence: e.notify, AcquirePermit: b.Acquire,
		BufferBytes: int64(bufferShare * float64(s.MemoryBytes)), Metrics: sillforwarder.NewMetrics(r), Log: log,
	})
}

func newJobMetrics(r *prometheus.Registry) *silljob.Metrics { return silljob.NewMetrics(r) }

func newJobCache(s *Settings) *silljob.Cache {
	c := silljob.NewCache()
	c.MaxBytes = int(resultShare * float64(s.MemoryBytes))
	return c
}

func newStore(t tables, m *silljob.Metrics, log *zap.Logger) *silljob.Store {
	return &silljob.Store{Table: t.store, Feed: t.feed, OnUndecoded: func(key string, err error) {
		m.CountUndecoded()
		log.Error("A row of a job can't be decoded; only what it holds is lost.", zap.String("key", key), silllog.Err(err))
	}}
}

func newReader(st *silljob.Store, v *view, c *silljob.Cache, f *followers) *silljob.Reader {
	return &silljob.Reader{Store: st, Board: v.board, Cache: c, BoardAge: f.boardAge}
}

// runnerParts groups the dependencies of the job runner.
type runnerParts struct {
	settings  *Settings
	adapter   *Adapter
	members   *membership
	view      *view
	store     *silljob.Store
	cache     *silljob.Cache
	forwarder *sillforwarder.Forwarder
	broker    *sillpermit.Broker
	followers *followers
}

func newRunnerParts(s *Settings, adapter *Adapter, m *membership, v *view, st *silljob.Store, c *silljob.Cache, f *sillforwarder.Forwarder, b *sillpermit.Broker, fs *followers) runnerParts {
	return runnerParts{settings: s, adapter: adapter, members: m, view: v, store: st, cache: c, forwarder: f, broker: b, followers: fs}
}

func newRunner(p runnerParts, m *silljob.Metrics, log *zap.Logger) *silljob.Runner {
	return silljob.NewRunner(silljob.RunnerConfig{
		Self: silljob.GatewayRun(p.members.run), Store: p.store, Board: p.view.board, Cache: p.cache,
		Directory: p.view.directory, Pool: p.adapter.TargetPool, Codec: p.adapter.Codec,
		Forwarder: p.forwarder, AcquirePermit: p.broker.Acquire, Catalog: p.view.catalog, CatalogRevision: p.followers.catalogRevision, Zone: p.settings.Zone,
		Region: p.settings.RegionOf(p.settings.Zone), Owner: p.members.owner, TakeoverRank: p.members.rank, Alive: p.followers.mayRun(p.members), TableFails: p.members.tableFailed, Overdue: p.members.overdue, ProbeOwner: p.members.prober(p.adapter.PeerPool), HandoverTime: jobHandoverTime,
		MaxHeldBytes: int64(itemShare * float64(p.settings.MemoryBytes)), Metrics: m, Log: log,
	})
}
