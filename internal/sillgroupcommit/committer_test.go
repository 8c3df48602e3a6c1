package sillgroupcommit

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// partitionRate is the number of transactions a second that one partition of the
	// platform's store handles, one after another.
	partitionRate = 200
	// maxPartitionQueue is the longest queue of a partition; further calls are refused.
	maxPartitionQueue = time.Second
	// storeLatency is the time of an answer of the store besides the queue.
	storeLatency = 4 * time.Millisecond
)

// store is the platform's store with the rows of the gateways, and the view that all
// gateways have of them.
type store struct {
	mu sync.Mutex
	// busyUntil is when the accepted transactions of each partition are done.
	busyUntil map[string]time.Time
	// txns and refused count the transactions that were done and refused.
	txns, refused int
	members       *sillcluster.Members
}

func (p *store) commit(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
	done, err := p.enqueue(partitionOf(txn))
	if err != nil {
		return nil, err
	}
	select {
	case <-time.After(time.Until(done) + storeLatency):
	case <-ctx.Done():
		// The transaction happens although its caller is gone.
		time.Sleep(time.Until(done))
		p.apply(txn)
		return nil, silltable.ErrUnknown
	}
	p.apply(txn)
	return make([]silltable.Revision, len(txn.Writes)), nil
}

// partitionOf returns the partition of the rows of a transaction.
func partitionOf(txn silltable.Txn) string {
	parts := strings.Split(txn.Writes[0].Key, "/")
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}

// enqueue returns when a new transaction in a partition is done.
func (p *store) enqueue(partition string) (time.Time, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	busy := p.busyUntil[partition]
	if busy.Sub(now) > maxPartitionQueue {
		p.refused++
		return time.Time{}, silltable.ErrUnavailable
	}
	if busy.Before(now) {
		busy = now
	}
	p.busyUntil[partition] = busy.Add(time.Second / partitionRate)
	p.txns++
	return p.busyUntil[partition], nil
}

func (p *store) apply(txn silltable.Txn) {
	changes := make([]silltable.Change, len(txn.Writes))
	for i, w := range txn.Writes {
		changes[i].Row = silltable.Row{Key: w.Key, Value: w.Value}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.members.Apply(time.Now(), changes); err != nil {
		panic(err)
	}
}

func (p *store) counts() (txns, refused int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.txns, p.refused
}

// gateway renews its row as a gateway of the fleet does.
type gateway struct {
	fleet     *fleet
	member    sillcluster.Member
	committer *Committer
	group     *sillgroup.Group
	// unresponsive is whether messages of other gateways get no response.
	unresponsive bool
	// failures counts failed renewals.
	failures int
}

// fleet is a set of gateways that share the partition.
type fleet struct {
	t        *testing.T
	store    *store
	group    *sillgroup.Group
	mu       sync.Mutex
	gateways map[string]*gateway
}

// newFleet starts gateways in six zones. The first direct ones are of a build that
// writes its rows directly.
func newFleet(t *testing.T, count, direct int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, group: sillgroup.New(t.Context()), gateways: make(map[string]*gateway),
		store: &store{busyUntil: make(map[string]time.Time), members: sillcluster.NewMembers(func(sillcluster.Member) {})},
	}
	for i := range count {
		name := fmt.Sprintf("front-%d", i)
		g := &gateway{fleet: f, group: sillgroup.New(f.group.Context()), member: sillcluster.Member{
			Instance: sillid.InstanceID(name), Run: sillcluster.Run("run-" + name), Address: name,
			Zone: sillid.ZoneID(fmt.Sprint("zone-", i%6)), GroupCommit: i >= direct,
		}}
		g.committer = New(Config{
			Table: &silltable.Store{Commit: f.store.commit}, Leader: g.leader, Post: f.post, Now: time.Now, Log: zap.NewNop(),
		})
		f.gateways[name] = g
		g.group.Go(g.committer.Run)
		g.group.Go(func(ctx context.Context) { g.renew(ctx, time.Duration(i)*300*time.Millisecond/time.Duration(count)) })
	}
	return f
}

func (g *gateway) leader() Leader {
	leader, ok := g.fleet.store.members.CommitLeader(time.Now(), g.member.Instance)
	if !ok {
		return Leader{}
	}
	return Leader{Self: leader.Instance == g.member.Instance, Address: leader.Address}
}

// renew writes the gateway's row every half second, beginning after a delay, until ctx
// ends.
func (g *gateway) renew(ctx context.Context, delay time.Duration) {
	time.Sleep(delay)
	for ctx.Err() == nil {
		next := time.After(sillcluster.RenewEvery)
		g.renewOnce(ctx)
		select {
		case <-ctx.Done():
		case <-next:
		}
	}
}

func (g *gateway) renewOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	g.member.Renewal++
	row, err := sillcluster.Encode(g.member)
	if err != nil {
		panic(err)
	}
	if err := g.committer.Commit(ctx, string(g.member.Zone), []silltable.Write{row}); err != nil {
		g.fleet.mu.Lock()
		g.failures++
		g.fleet.mu.Unlock()
	}
}

// post delivers a message to a gateway in this process.
func (f *fleet) post(ctx context.Context, address, path string, body []byte) bool {
	f.mu.Lock()
	g := f.gateways[address]
	hangs := g.unresponsive
	f.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return false
	}
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(body))
	w := httptest.NewRecorder()
	g.committer.ServeHTTP(w, r)
	return w.Code == http.StatusNoContent
}

func (f *fleet) failures() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, g := range f.gateways {
		n += g.failures
	}
	return n
}

// anyLeader returns a gateway that commits for others.
func (f *fleet) anyLeader() *gateway {
	f.t.Helper()
	for _, g := range f.gateways {
		if g.leader().Self {
			return g
		}
	}
	f.t.Fatal("no gateway is a leader")
	return nil
}

// checkAllAlive checks, for a while, that every gateway but those left out counts as
// alive all the time.
func (f *fleet) checkAllAlive(d time.Duration, out ...*gateway) {
	f.t.Helper()
	skip := make(map[sillcluster.Run]bool)
	for _, g := range out {
		skip[g.member.Run] = true
	}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, g := range f.gateways {
			if !skip[g.member.Run] && !f.store.members.Alive(time.Now(), g.member.Run) {
				f.t.Fatalf("%s counts as dead although it runs", g.member.Instance)
			}
		}
	}
}

// runFleet runs a test with a fleet that has started, in simulated time.
func runFleet(t *testing.T, count, direct int, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, count, direct)
		defer f.group.Stop()
		time.Sleep(3 * time.Second)
		test(t, f)
		for _, g := range f.gateways {
			g.group.Stop()
		}
	})
}

// TestLargeFleetFitsOnePartition guards against the renewals of a large fleet asking more
// of the partition of their rows than it gives: they then fail, gateways count each other
// as dead, and all other rows of the partition wait in the same queue.
func TestLargeFleetFitsOnePartition(t *testing.T) {
	const (
		gateways = 133
		seconds  = 10
		// maxShare is the share of the partition that renewals may take.
		maxShare = 0.5
	)
	runFleet(t, gateways, 0, func(t *testing.T, f *fleet) {
		txns, refused := f.store.counts()
		failures := f.failures()
		f.checkAllAlive(seconds * time.Second)
		after, refusedAfter := f.store.counts()
		if n := f.failures() - failures + refusedAfter - refused; n > 0 {
			t.Errorf("%d renewals failed or were refused", n)
		}
		rate := float64(after-txns) / seconds
		t.Logf("%.1f transactions a second of %d gateways", rate, gateways)
		if rate > maxShare*partitionRate {
			t.Errorf("%.1f transactions a second, want %.0f at most", rate, maxShare*partitionRate)
		}
	})
}

// TestFullPartitionOfOtherRows guards against renewals waiting behind the rows of others,
// such as the registry of targets: a queue there must not make gateways count as dead, nor
// last because gateways whose renewals time out write all the more.
func TestFullPartitionOfOtherRows(t *testing.T) {
	runFleet(t, 133, 0, func(_ *testing.T, f *fleet) {
		f.group.Go(func(ctx context.Context) {
			for ctx.Err() == nil {
				_, _ = f.store.enqueue("")
				time.Sleep(time.Second / partitionRate)
			}
		})
		f.checkAllAlive(5 * time.Second)
	})
}

func TestMixedFleet(t *testing.T) {
	runFleet(t, 60, 30, func(_ *testing.T, f *fleet) { f.checkAllAlive(5 * time.Second) })
}

// TestLostLeader guards against a leader taking its followers with it: they must not
// count as dead, however the leader fails.
func TestLostLeader(t *testing.T) {
	for name, fail := range map[string]func(*gateway){
		"gone":         func(g *gateway) { g.unresponsive = true; g.group.Stop() },
		"unresponsive": func(g *gateway) { g.unresponsive = true },
		"without the store": func(g *gateway) {
			g.committer.cfg.Table = &silltable.Store{Commit: func(context.Context, silltable.Txn) ([]silltable.Revision, error) {
				return nil, silltable.ErrUnavailable
			}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 133, 0, func(_ *testing.T, f *fleet) {
				lost := f.anyLeader()
				f.mu.Lock()
				fail(lost)
				f.mu.Unlock()
				f.checkAllAlive(8*time.Second, lost)
			})
		})
	}
}

// newTestCommitter returns a committer that leads and records its transactions.
func newTestCommitter(now func() time.Time, txns *[]silltable.Txn) *Committer {
	return New(Config{
		Table: &silltable.Store{Commit: func(_ context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
			*txns = append(*txns, txn)
			return nil, nil
		}},
		Leader: func() Leader { return Leader{Self: true} }, Now: now, Log: zap.NewNop(),
	})
}

// TestPausedLeaderDropsOldWrites guards against a leader that was paused replacing rows
// that their gateways have written directly since.
func TestPausedLeaderDropsOldWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var txns []silltable.Txn
		paused := time.Duration(0)
		c := newTestCommitter(func() time.Time { return time.Now().Add(paused) }, &txns)
		group := sillgroup.New(t.Context())
		defer group.Stop()
		result := make(chan error, 1)
		group.Go(func(ctx context.Context) { result <- c.Commit(ctx, "", []silltable.Write{{Key: "a"}}) })
		synctest.Wait()
		paused = 3 * time.Second
		group.Go(c.Run)
		if err := <-result; !errors.Is(err, silltable.ErrUnavailable) {
			t.Errorf("write gathered before the pause: %v, want ErrUnavailable", err)
		}
		if len(txns) != 0 {
			t.Errorf("transactions after the pause: %v", txns)
		}
	})
}

// TestWritesAfterTheCommitterStops guards against writes that wait for a committer which
// has stopped: the last counts of usage of a process that stops are such a write.
func TestWritesAfterTheCommitterStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var txns []silltable.Txn
		c := newTestCommitter(time.Now, &txns)
		group := sillgroup.New(t.Context())
		group.Go(c.Run)
		own, peers := make(chan error, 1), make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		waiting := sillgroup.New(ctx)
		waiting.Go(func(ctx context.Context) { own <- c.Commit(ctx, "", []silltable.Write{{Key: "own"}}) })
		waiting.Go(func(ctx context.Context) { peers <- c.gather(ctx, "", []silltable.Write{{Key: "peer's"}}) })
		synctest.Wait()
		stopped := time.Now()
		group.Stop()
		if err := <-own; err != nil {
			t.Errorf("write of the process under way: %v, want it written", err)
		}
		if err := <-peers; !errors.Is(err, silltable.ErrUnavailable) {
			t.Errorf("write of a peer under way: %v, want %v", err, silltable.ErrUnavailable)
		}
		if err := c.Commit(ctx, "", []silltable.Write{{Key: "last"}}); err != nil {
			t.Errorf("write after the stop: %v, want it written", err)
		}
		if waited := time.Since(stopped); waited != 0 || len(txns) != 2 {
			t.Errorf("%d transactions after %v, want 2 at once", len(txns), waited)
		}
	})
}

func TestTransactionsAreBounded(t *testing.T) {
	var calls []*pendingWrites
	for i := range 200 {
		calls = append(calls, &pendingWrites{writes: []silltable.Write{{Key: fmt.Sprint(i), Value: make([]byte, 20<<10)}}})
	}
	rows := 0
	for _, txn := range splitTxns(calls) {
		writes := newestWrites(txn)
		rows += len(writes)
		if size := sizeOf(writes); len(writes) > maxTxnWrites || size > maxTxnBytes {
			t.Errorf("a transaction of %d rows and %d bytes", len(writes), size)
		}
	}
	if rows != len(calls) {
		t.Errorf("%d rows in all transactions, want %d", rows, len(calls))
	}
}

func TestOneRowOnceInATransaction(t *testing.T) {
	writes := newestWrites([]*pendingWrites{
		{writes: []silltable.Write{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}},
		{writes: []silltable.Write{{Key: "a", Value: []byte("2")}}},
	})
	if len(writes) != 2 || string(writes[0].Value) != "2" || string(writes[1].Value) != "1" {
		t.Errorf("writes %v, want the newest of each row", writes)
	}
}

func TestUnreadableMessages(t *testing.T) {
	var txns []silltable.Txn
	c := newTestCommitter(time.Now, &txns)
	for name, body := range map[string][]byte{"not CBOR": []byte("?"), "no writes": {0xa0}, "too long": make([]byte, maxMessageBytes+1)} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			c.ServeHTTP(w, httptest.NewRequest(http.MethodPost, Path, bytes.NewReader(body)))
			if w.Code != http.StatusBadRequest {
				t.Errorf("status %d, want 400", w.Code)
			}
		})
	}
}
