package sillrelay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

const (
	// probeEvery is how often a service out of reach is tried.
	probeEvery = 400 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// directTimeout bounds a call to the service beyond the time for which it
	// waits for changes, so that time is left to go through a peer.
	directTimeout = 700 * time.Millisecond
	// maxAnswer bounds the answer of a peer.
	maxAnswer = 64 << 20
)

// Config holds what a Relay needs.
type Config struct {
	// Table and Feed are the service itself.
	Table *silltable.Store
	Feed  *silltable.Feed
	// Pool sends calls to peers.
	Pool *silltransport.Pool
	// Peers returns the addresses of other gateways, those to be asked first in front.
	Peers func() []string
	// ProbeKey is a row that is read to find out whether the service is within reach.
	ProbeKey string
	// Registerer takes the metrics; nil keeps them to themselves.
	Registerer prometheus.Registerer
	Log        *zap.Logger
}

// Relay calls the table service, itself or through a peer. It is safe for
// concurrent use.
type Relay struct {
	cfg   Config
	calls *prometheus.CounterVec

	mu sync.Mutex
	// away is whether the last call to the service itself failed.
	away bool
}

// New returns a relay that takes the service to be within reach.
func New(cfg Config) *Relay {
	cfg.Log = cfg.Log.Named("relay")
	r := &Relay{cfg: cfg, calls: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabisill_relay_calls_total",
		Help: "Calls of the table service, by way (direct, peer) and outcome.",
	}, []string{"way", "outcome"})}
	if cfg.Registerer != nil {
		cfg.Registerer.MustRegister(r.calls)
	}
	return r
}

// Table returns the interface for rows.
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

// Feed returns the interface for tables as a whole.
func (r *Relay) Feed() *silltable.Feed {
	return &silltable.Feed{
		Read: func(ctx context.Context, table, partition, from string) (silltable.Snapshot, error) {
			a, err := r.call(ctx, wireCall{Call: callRead, Table: table, Partition: partition, Key: from})
			return silltable.Snapshot{Rows: a.Rows, Revision: a.Revision}, err
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

func firstRow(a wireAnswer) silltable.Row {
	if len(a.Rows) == 0 {
		return silltable.Row{}
	}
	return a.Rows[0]
}

// Unreachable returns whether the service itself is out of reach.
func (r *Relay) Unreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
}

// call makes a call directly, or through a peer while the service is out of reach.
func (r *Relay) call(ctx context.Context, c wireCall) (wireAnswer, error) {
	if !r.Unreachable() {
		a, err := r.direct(ctx, c)
		// A caller who left says nothing of the service.
		if !outOfReach(err) || ctx.Err() != nil {
			return a, err
		}
		r.setAway(err)
		// A write without an answer may still take effect; its sender decides.
		if errors.Is(err, silltable.ErrUnknown) {
			return a, err
		}
	}
	return r.throughPeer(ctx, c)
}

// outOfReach returns whether an error says that the service did not serve the call.
func outOfReach(err error) bool {
	return errors.Is(err, silltable.ErrUnavailable) || errors.Is(err, silltable.ErrUnknown)
}

func (r *Relay) setAway(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.away {
		r.away = true
		r.cfg.Log.Warn("Table service out of reach; asking peers.", silllog.Err(err))
	}
}

func (r *Relay) setBack() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = false
	r.cfg.Log.Info("Table service within reach.")
}

// Run looks whether a service out of reach is back, until ctx ends.
func (r *Relay) Run(ctx context.Context) {
	sillgroup.Every(ctx, probeEvery, func(time.Time) {
		if r.Unreachable() && r.probe(ctx) {
			r.setBack()
		}
	})
}

func (r *Relay) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := r.cfg.Table.Get(ctx, r.cfg.ProbeKey)
	return !outOfReach(err)
}

// direct makes a call to the service itself.
func (r *Relay) direct(ctx context.Context, c wireCall) (wireAnswer, error) {
	wait := time.Duration(c.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+directTimeout)
	defer cancel()
	a, err := r.carryOut(ctx, c)
	r.count("direct", err)
	return a, err
}

func (r *Relay) count(way string, err error) {
	outcome := string(nameOf(err))
	if outcome == "" {
		outcome = "done"
	}
	r.calls.WithLabelValues(way, outcome).Inc()
}

// carryOut makes a call to the service and returns its answer.
func (r *Relay) carryOut(ctx context.Context, c wireCall) (wireAnswer, error) {
	switch c.Call {
	case callGet:
		row, err := r.cfg.Table.Get(ctx, c.Key)
		return wireAnswer{Rows: []silltable.Row{row}}, err
	case callList:
		rows, err := r.cfg.Table.List(ctx, c.Key, c.After, c.Limit)
		return wireAnswer{Rows: rows}, err
	case callCommit:
		revisions, err := r.cfg.Table.Commit(ctx, c.Txn)
		return wireAnswer{Revisions: revisions}, err
	case callRead:
		s, err := r.cfg.Feed.Read(ctx, c.Table, c.Partition, c.Key)
		return wireAnswer{Rows: s.Rows, Revision: s.Revision}, err
	case callPartitions:
		names, err := r.cfg.Feed.Partitions(ctx, c.Table)
		return wireAnswer{Partitions: names}, err
	case callFollow:
		page, err := r.cfg.Feed.Follow(ctx, c.Table, c.Revision, time.Duration(c.WaitMS)*time.Millisecond)
		return wireAnswer{Changes: page.Changes, Revision: page.Next}, err
	}
	return wireAnswer{}, eris.Wrapf(silltable.ErrUnavailable, "sillrelay.carryOut: call %q", c.Call)
}

// throughPeer asks one peer, and another one if the first can't serve the call.
func (r *Relay) throughPeer(ctx context.Context, c wireCall) (wireAnswer, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return wireAnswer{}, eris.Wrap(err, "sillrelay.throughPeer")
	}
	failure := silltable.ErrUnavailable
	for _, address := range chosen(r.cfg.Peers()) {
		a, err := r.ask(ctx, address, c, body)
		r.count("peer", err)
		if !errors.Is(err, silltable.ErrUnavailable) {
			return a, err
		}
		failure = err
	}
	return wireAnswer{}, failure
}

// peersAsked bounds the peers that one call goes to.
const peersAsked = 2

// chosen returns the peers to ask: one of the two in front, so that not all
// calls fall on one, and another one.
func chosen(peers []string) []string {
	if len(peers) > peersAsked {
		peers = peers[:peersAsked+1]
	}
	if len(peers) > 1 && rand.IntN(2) == 1 {
		peers[0], peers[1] = peers[1], peers[0]
	}
	return peers[:min(len(peers), peersAsked)]
}

func (r *Relay) ask(ctx context.Context, address string, c wireCall, body []byte) (wireAnswer, error) {
	wait := time.Duration(c.WaitMS) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, wait+directTimeout)
	defer cancel()
	resp, err := r.cfg.Pool.Send(ctx, address, &silltransport.Request{
		Method: http.MethodPost, RequestURI: path, Host: address, Body: body,
	})
	if err != nil {
		r.cfg.Pool.CloseIdle(address)
		return wireAnswer{}, unanswered(c, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return wireAnswer{}, unanswered(c, err)
	}
	if resp.StatusCode != http.StatusOK {
		return wireAnswer{}, eris.Wrapf(silltable.ErrUnavailable, "sillrelay.ask: peer answered %d", resp.StatusCode)
	}
	var a wireAnswer
	if err := cbor.Unmarshal(b, &a); err != nil {
		return wireAnswer{}, unanswered(c, err)
	}
	return a, errorOf(a.Failure)
}

// unanswered classifies a call that a peer did not answer.
func unanswered(c wireCall, err error) error {
	if c.Call == callCommit && !silltransport.NotSent(err) {
		return eris.Wrapf(silltable.ErrUnknown, "sillrelay.ask: %v", err)
	}
	return eris.Wrapf(silltable.ErrUnavailable, "sillrelay.ask: %v", err)
}

// maxCall bounds a call of a peer.
const maxCall = 4 << 20

// Handler passes calls of peers on to the service. It refuses them at once
// while the service is out of this process's reach, too.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
		var c wireCall
		body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxCall))
		if err == nil {
			err = cbor.Unmarshal(body, &c)
		}
		if err != nil {
			http.Error(w, "call can't be read", http.StatusBadRequest)
			return
		}
		if r.Unreachable() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		a, err := r.direct(req.Context(), c)
		if outOfReach(err) && req.Context().Err() == nil {
			r.setAway(err)
		}
		a.Failure = nameOf(err)
		b, err := cbor.Marshal(a)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		// A peer that left reads no answer.
		_, _ = w.Write(b)
	})
	return mux
}
