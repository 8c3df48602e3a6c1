package sillrelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

const (
	// probeInterval is the time between two probes of an unreachable service.
	probeInterval = 400 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// defaultCallTimeout leaves time for a call through a peer after a direct one.
	defaultCallTimeout = 700 * time.Millisecond
	// maxResponseBytes is the size limit of a peer's response.
	maxResponseBytes = 8 << 20
)

// Config holds the dependencies of a Relay.
type Config struct {
	// Table and Feed call the service directly.
	Table *silltable.Store
	Feed  *silltable.Feed
	// Pool sends calls to peers.
	Pool *silltransport.Pool
	// Peers returns the addresses of other gateways in order of preference.
	Peers func() []string
	// RegionPeers returns those of Peers that are in the region of this process. They pass on
	// calls that may not leave it; if nil, nobody does.
	RegionPeers func() []string
	// ProbeKey is the key of the row that a probe reads.
	ProbeKey string
	// CallTimeout is the time limit of a call in addition to the times for which it waits for
	// changes and for its bytes to pass a slow link; 0 stands for 700 ms.
	CallTimeout time.Duration
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	Log        *zap.Logger
}

// Relay calls the table service directly or through a peer. It is safe for
// concurrent use.
type Relay struct {
	cfg   Config
	calls *prometheus.CounterVec

	mu sync.Mutex
	// unreachable is whether a direct call failed and no probe succeeded since.
	unreachable bool
	// failedAt is when a call last failed both directly and through peers.
	failedAt time.Time
}

// New returns a relay that treats the service as reachable until a call fails.
func New(cfg Config) *Relay {
	cfg.Log = cfg.Log.Named("relay")
	r := &Relay{cfg: cfg, calls: sillmetric.CounterVec("wasabisill_relay_calls_total", "Calls of the table service, by way (direct, peer) and outcome.", "way", "outcome")}
	if cfg.Registerer != nil {
		cfg.Registerer.MustRegister(r.calls)
	}
	return r
}

// Table returns the operations on rows.
func (r *Relay) Table() *silltable.Store {
	return &silltable.Store{
		Get: func(ctx context.Context, key string) (silltable.Row, error) {
			a, err := r.call(ctx, wireCall{Call: callGet, Key: key})
			return firstRow(a), err
		},
		List: func(ctx context.Context, prefix, after string, limit int) ([]silltable.Row, error) {
			a, err := r.call(ctx, wireCall{Call: callList, Key: prefix, After: after, Limit: limit})
			return a.Rows, err
		},
		Commit: func(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
			a, err := r.call(ctx, wireCall{Call: callCommit, Txn: txn})
			return a.Revisions, err
		},
	}
}

// Feed returns the operations on whole tables.
func (r *Relay) Feed() *silltable.Feed {
	return &silltable.Feed{
		ReadPage: func(ctx context.Context, q silltable.Range) (silltable.RangePage, error) {
			a, err := r.call(ctx, wireCall{Call: callReadPage, Table: q.Table, Partition: q.Partition, Key: q.From, To: q.To, Large: q.Large})
			return silltable.RangePage{Rows: a.Rows, Revision: a.Revision, Next: a.Next}, err
		},
		Partitions: func(ctx context.Context, table string) ([]string, error) {
			a, err := r.call(ctx, wireCall{Call: callPartitions, Table: table})
			return a.Partitions, err
		},
		Follow: func(ctx context.Context, table string, after silltable.Revision, wait time.Duration) (silltable.Page, error) {
			a, err := r.call(ctx, wireCall{Call: callFollow, Table: table, Revision: after, WaitMS: wait.Milliseconds()})
			return silltable.Page{Changes: a.Changes, Next: a.Revision}, err
		},
	}
}

func firstRow(a wireResult) silltable.Row {
	if len(a.Rows) == 0 {
		return silltable.Row{}
	}
	return a.Rows[0]
}

// Unreachable returns whether the service can't be called directly.
func (r *Relay) Unreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.unreachable
}

// call makes a call directly, or through a peer while the service is unreachable.
func (r *Relay) call(ctx context.Context, c wireCall) (wireResult, error) {
	if !r.Unreachable() {
		a, err := r.direct(ctx, c)
		// A call that its caller cancelled is no evidence of an outage.
		if !notServed(err) || ctx.Err() != nil {
			return a, err
		}
		r.recordFailure(ctx, c, err)
		// A write without a response may still take effect, so it is not repeated
		// through a peer; the caller decides.
		if errors.Is(err, silltable.ErrUnknown) {
			return a, err
		}
	}
	a, err := r.callPeers(ctx, c)
	// Few peers may pass on a call that is kept in its region, so that its failure tells little.
	if notServed(err) && ctx.Err() == nil && !silltable.IsKeptInRegion(ctx) {
		r.mu.Lock()
		r.failedAt = time.Now()
		r.mu.Unlock()
	}
	return a, err
}

// FailedWithin returns whether a call failed within a time, both directly and through peers:
// the service refuses a part of the calls at least.
func (r *Relay) FailedWithin(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failedAt.IsZero() && time.Since(r.failedAt) < d
}

// notServed returns whether an error means that the service did not serve the call.
func notServed(err error) bool {
	return errors.Is(err, silltable.ErrUnavailable) || errors.Is(err, silltable.ErrUnknown)
}

// recordFailure takes the service for out of reach after a call that it did not serve. A
// call with many bytes may have failed because the link is slow or busy, so a probe decides.
func (r *Relay) recordFailure(ctx context.Context, c wireCall, err error) {
	if c.transferTime() > 0 && r.probe(ctx) {
		r.cfg.Log.Warn("A call with many bytes failed, but the table service is within reach.", zap.String("call", string(c.Call)), silllog.Err(err))
		return
	}
	r.setUnreachable(err)
}

func (r *Relay) setUnreachable(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.unreachable {
		r.unreachable = true
		r.cfg.Log.Warn("Table service out of reach; asking peers.", silllog.Err(err))
	}
}

func (r *Relay) setReachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unreachable = false
	r.cfg.Log.Info("Table service within reach.")
}

// Run probes the service while it is unreachable, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	sillgroup.Every(ctx, probeInterval, func(time.Time) {
		if r.Unreachable() && r.probe(ctx) {
			r.setReachable()
		}
	})
}

func (r *Relay) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := r.cfg.Table.Get(ctx, r.cfg.ProbeKey)
	return !notServed(err)
}

// direct makes a call to the service with a timeout and counts its outcome.
func (r *Relay) direct(ctx context.Context, c wireCall) (wireResult, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeLimit(&c))
	defer cancel()
	a, err := r.execute(ctx, c)
	r.count("direct", err)
	return a, err
}

func (r *Relay) count(way string, err error) {
	outcome := string(failureOf(err))
	if outcome == "" {
		outcome = "done"
	}
	r.calls.WithLabelValues(way, outcome).Inc()
}

// execute makes a call to the service and returns its result.
func (r *Relay) execute(ctx context.Context, c wireCall) (wireResult, error) {
	switch c.Call {
	case callGet:
		row, err := r.cfg.Table.Get(ctx, c.Key)
		return wireResult{Rows: []silltable.Row{row}}, err
	case callList:
		rows, err := r.cfg.Table.List(ctx, c.Key, c.After, c.Limit)
		return wireResult{Rows: rows}, err
	case callCommit:
		revisions, err := r.cfg.Table.Commit(ctx, c.Txn)
		return wireResult{Revisions: revisions}, err
	case callRead:
		s, err := r.cfg.Feed.Read(ctx, c.Table, c.Partition, c.Key)
		return wireResult{Rows: s.Rows, Revision: s.Revision}, err
	case callReadPage:
		page, err := r.cfg.Feed.ReadPage(ctx, silltable.Range{Table: c.Table, Partition: c.Partition, From: c.Key, To: c.To, Large: c.Large})
		return wireResult{Rows: page.Rows, Revision: page.Revision, Next: page.Next}, err
	case callPartitions:
		names, err := r.cfg.Feed.Partitions(ctx, c.Table)
		return wireResult{Partitions: names}, err
	case callFollow:
		page, err := r.cfg.Feed.Follow(ctx, c.Table, c.Revision, time.Duration(c.WaitMS)*time.Millisecond)
		return wireResult{Changes: page.Changes, Revision: page.Next}, err
	}
	return wireResult{}, eris.Wrapf(silltable.ErrUnavailable, "sillrelay.execute: unknown call %q", c.Call)
}
