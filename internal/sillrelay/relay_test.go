package sillrelay

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

// gateway is a relay whose direct calls to the table can be made to fail.
type gateway struct {
	relay   *Relay
	server  *httptest.Server
	failure atomic.Pointer[error]
	direct  atomic.Int32
}

// setFailure makes every direct call fail with err; nil lets them succeed.
func (g *gateway) setFailure(err error) { g.failure.Store(&err) }

// newGateway returns a gateway with a table that it may share with others.
func newGateway(t *testing.T, table *sillmemtable.Table, peers ...*gateway) *gateway {
	t.Helper()
	g := &gateway{}
	g.setFailure(nil)
	fault := func() error {
		g.direct.Add(1)
		return *g.failure.Load()
	}
	store, feed := table.Store(), table.Feed()
	g.relay = New(Config{
		Table: &silltable.Store{
			Get: func(ctx context.Context, key string) (silltable.Row, error) {
				if err := fault(); err != nil {
					return silltable.Row{}, err
				}
				return store.Get(ctx, key)
			},
			List: store.List,
			Commit: func(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
				if err := fault(); err != nil {
					return nil, err
				}
				return store.Commit(ctx, txn)
			},
		},
		Feed: feed, ProbeKey: "t/probe", Log: zap.NewNop(),
		Pool: silltransport.NewPool(silltransport.Config{ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute}),
		Peers: func() []string {
			var addresses []string
			for _, p := range peers {
				addresses = append(addresses, strings.TrimPrefix(p.server.URL, "http://"))
			}
			return addresses
		},
	})
	g.server = httptest.NewServer(g.relay.Handler())
	t.Cleanup(g.server.Close)
	return g
}

func write(key, value string) silltable.Txn {
	return silltable.Txn{Writes: []silltable.Write{{Key: key, Value: []byte(value)}}}
}

func TestCallsGoThroughAPeer(t *testing.T) {
	table := &sillmemtable.Table{}
	peer := newGateway(t, table)
	g := newGateway(t, table, peer)
	g.setFailure(silltable.ErrUnavailable)
	revisions, err := g.relay.Table().Commit(t.Context(), write("t/a", "1"))
	if err != nil || len(revisions) != 1 {
		t.Fatalf("commit: %v, %v", revisions, err)
	}
	row, err := g.relay.Table().Get(t.Context(), "t/a")
	if err != nil || string(row.Value) != "1" || row.Revision != revisions[0] {
		t.Errorf("get: %+v, %v", row, err)
	}
	if _, err := g.relay.Table().Get(t.Context(), "t/none"); !errors.Is(err, silltable.ErrNotFound) {
		t.Errorf("get of no row: %v", err)
	}
	stale := silltable.Txn{Checks: []silltable.Check{{Key: "t/a", Revision: 99}}}
	if _, err := g.relay.Table().Commit(t.Context(), stale); !errors.Is(err, silltable.ErrConflict) {
		t.Errorf("stale commit: %v", err)
	}
	rows, err := g.relay.Table().List(t.Context(), "t/", "", 10)
	if err != nil || len(rows) != 1 {
		t.Errorf("list: %v, %v", rows, err)
	}
	page, err := g.relay.Feed().Follow(t.Context(), "t", 0, 50*time.Millisecond)
	if err != nil || len(page.Changes) != 1 || page.Next == 0 {
		t.Errorf("feed: %+v, %v", page, err)
	}
	if n := g.direct.Load(); n != 1 {
		t.Errorf("%d direct calls to an unreachable table, want only the first", n)
	}
}

// TestUnknownWritesAreNotRepeated loses the response to a direct write: the write may
// have taken effect, so it must not be repeated through a peer.
func TestUnknownWritesAreNotRepeated(t *testing.T) {
	table := &sillmemtable.Table{}
	peer := newGateway(t, table)
	g := newGateway(t, table, peer)
	g.setFailure(silltable.ErrUnknown)
	if _, err := g.relay.Table().Commit(t.Context(), write("t/a", "1")); !errors.Is(err, silltable.ErrUnknown) {
		t.Errorf("commit: %v, want that its outcome is unknown", err)
	}
	if n := peer.direct.Load(); n != 0 {
		t.Errorf("the write was repeated through a peer %d times", n)
	}
}

func TestNoPeerReachesTable(t *testing.T) {
	table := &sillmemtable.Table{}
	peer := newGateway(t, table)
	g := newGateway(t, table, peer)
	g.setFailure(silltable.ErrUnavailable)
	peer.setFailure(silltable.ErrUnavailable)
	for range 3 {
		if _, err := g.relay.Table().Get(t.Context(), "t/a"); !errors.Is(err, silltable.ErrUnavailable) {
			t.Errorf("get: %v", err)
		}
	}
	if n := peer.direct.Load(); n != 1 {
		t.Errorf("the peer called the table %d times, want once", n)
	}
	checkFailed(t, g, true)
}

// checkFailed checks whether a gateway knows of a failed call.
func checkFailed(t *testing.T, g *gateway, want bool) {
	t.Helper()
	if got := g.relay.FailedWithin(time.Minute); got != want {
		t.Errorf("a call failed within a minute: %t, want %t", got, want)
	}
}

func TestDeadPeers(t *testing.T) {
	table := &sillmemtable.Table{}
	dead, peer := newGateway(t, table), newGateway(t, table)
	dead.server.Close()
	g := newGateway(t, table, dead, peer)
	g.setFailure(silltable.ErrUnavailable)
	for range 8 {
		if _, err := g.relay.Table().Commit(t.Context(), write("t/a", "1")); err != nil {
			t.Errorf("commit: %v", err)
		}
	}
	checkFailed(t, g, false)
}

// TestCancelledCallIsNoOutage makes a call with a cancelled context: its failure must
// not mark the table as unreachable.
func TestCancelledCallIsNoOutage(t *testing.T) {
	g := newGateway(t, &sillmemtable.Table{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.setFailure(silltable.ErrUnknown)
	if _, err := g.relay.Table().Commit(ctx, write("t/a", "1")); !errors.Is(err, silltable.ErrUnknown) {
		t.Errorf("commit: %v", err)
	}
	if g.relay.Unreachable() {
		t.Error("the table is marked as unreachable")
	}
	checkFailed(t, g, false)
}

func TestProbeDetectsRecovery(t *testing.T) {
	table := &sillmemtable.Table{}
	g := newGateway(t, table)
	group := sillgroup.New(t.Context())
	defer group.Stop()
	group.Go(g.relay.Run)
	g.setFailure(silltable.ErrUnavailable)
	if _, err := g.relay.Table().Get(t.Context(), "t/a"); !errors.Is(err, silltable.ErrUnavailable) {
		t.Fatal(err)
	}
	g.setFailure(nil)
	for range 500 {
		if !g.relay.Unreachable() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("no probe detected within 5 s that the table is reachable again")
}
