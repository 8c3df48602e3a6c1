package silldirectgateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var crashing = sillcrash.Fingerprint{1}

// newTestMembership returns the membership of a gateway that has not written its row.
func newTestMembership(instance sillid.InstanceID) *membership {
	pool := silltransport.NewPool(silltransport.Config{ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute})
	adapter, log := &Adapter{PeerPool: pool, TargetPool: pool}, zap.NewNop()
	evidence := newCrashEvidence(adapter, newRegistry(), log)
	directory := newDirectory(&Settings{}, adapter, newRegistry(), log)
	m := newMembership(&Settings{Instance: instance}, evidence, newLeavingTargets(directory, adapter, log), newTargetLimits(directory, adapter, log), newRegistry(), log)
	newBroker(adapter, directory, m, newRegistry())
	m.poolLoads = func() []sillcluster.PoolLoad { return nil }
	return m
}

// crashTargets records crashes of targets under the crashing content.
func (m *membership) crashTargets(count int) {
	for i := range count {
		r := sillcrash.RunningRequest{Fingerprint: crashing, Started: time.Now()}
		m.evidence.suspects.RecordCrash(time.Now(), sillid.TargetID(fmt.Sprint(i)), "run", []sillcrash.RunningRequest{r})
	}
}

func checkRefuses(t *testing.T, m *membership, want bool) {
	t.Helper()
	if got := m.evidence.suspects.Check(crashing) != nil; got != want {
		t.Errorf("the content is refused: %t, want %t", got, want)
	}
}

// TestRestartKeepsCrashEvidence starts the only gateway again: its first row must not
// replace the evidence that its last run has left.
func TestRestartKeepsCrashEvidence(t *testing.T) {
	var readFails atomic.Bool
	table := &sillmemtable.Table{Fault: func(_ context.Context, call string) error {
		if call == "get" && readFails.Load() {
			return silltable.ErrUnavailable
		}
		return nil
	}}
	first := newTestMembership("front-a")
	first.crashTargets(3)
	first.renewOnce(t.Context(), table.Store())

	readFails.Store(true)
	second := newTestMembership("front-a")
	second.renewOnce(t.Context(), table.Store())
	checkRefuses(t, second, false)
	readFails.Store(false)
	second.renewOnce(t.Context(), table.Store())
	checkRefuses(t, second, true)

	third := newTestMembership("front-a")
	third.renewOnce(t.Context(), table.Store())
	checkRefuses(t, third, true)
}

// TestCrashEvidenceReachesPeersWithoutTheTable sends evidence to a peer while rows can't
// be written.
func TestCrashEvidenceReachesPeersWithoutTheTable(t *testing.T) {
	table := &sillmemtable.Table{Fault: func(context.Context, string) error { return silltable.ErrUnavailable }}
	peer, m := newTestMembership("front-b"), newTestMembership("front-a")
	server := httptest.NewServer(http.HandlerFunc(peer.evidence.serve))
	defer server.Close()
	row, err := sillcluster.Encode(sillcluster.Member{Instance: "front-b", Run: "b", Address: strings.TrimPrefix(server.URL, "http://")})
	if err != nil {
		t.Fatal(err)
	}
	m.reset([]silltable.Row{{Key: row.Key, Value: row.Value}}, 0)
	m.renewOnce(t.Context(), table.Store())
	checkRefuses(t, peer, false)
	m.crashTargets(3)
	m.renewOnce(t.Context(), table.Store())
	checkRefuses(t, peer, true)
}

// TestSharedCrashEvidenceIsBounded fills the evidence: what one gateway shares must stay
// within a row.
func TestSharedCrashEvidenceIsBounded(t *testing.T) {
	const rowBytes = 44 << 10
	m := newTestMembership("front-a")
	for content := range 4 * maxSharedRequests {
		for target := range 20 {
			r := sillcrash.RunningRequest{Fingerprint: sillcrash.Fingerprint{2, byte(content)}, Started: time.Now()}
			m.evidence.suspects.RecordCrash(time.Now(), sillid.TargetID(fmt.Sprintf("target-with-a-long-id-%d", target)), "1765000000000", []sillcrash.RunningRequest{r})
		}
	}
	if n := len(m.evidence.encode()); n == 0 || n > rowBytes {
		t.Errorf("%d bytes of evidence, want 1 to %d", n, rowBytes)
	}
}

// unavailable is a table that refuses commits.
var unavailable = &silltable.Store{Commit: refuseCommit}

// startPeer returns the membership of a gateway that accepts crash evidence at an address.
func startPeer(t *testing.T, instance sillid.InstanceID) (*membership, string) {
	t.Helper()
	peer := newTestMembership(instance)
	server := httptest.NewServer(http.HandlerFunc(peer.evidence.serve))
	t.Cleanup(server.Close)
	return peer, strings.TrimPrefix(server.URL, "http://")
}

// rowOf returns the row of a gateway.
func rowOf(t *testing.T, instance sillid.InstanceID, address string) silltable.Row {
	t.Helper()
	row, err := sillcluster.Encode(sillcluster.Member{Instance: instance, Run: sillcluster.Run(instance), Address: address})
	if err != nil {
		t.Fatal(err)
	}
	return silltable.Row{Key: row.Key, Value: row.Value}
}

// TestCrashesReachGatewaysThatTheTableTurnsAway guards against a gateway that can't read the
// rows of the others sending a request on that has crashed its targets there.
func TestCrashesReachGatewaysThatTheTableTurnsAway(t *testing.T) {
	peer, address := startPeer(t, "front-b")
	m := newTestMembership("front-a")
	// The peer renewed its row before, and only a third gateway renews its row now.
	before := sillclock.Boot().Add(-10 * time.Second)
	if err := m.members.Reset(before, []silltable.Row{rowOf(t, "front-b", address)}); err != nil {
		t.Fatal(err)
	}
	m.apply([]silltable.Change{{Row: rowOf(t, "front-c", "127.0.0.1:1")}}, 0)
	group := sillgroup.New(t.Context())
	defer group.Stop()
	group.Go(func(ctx context.Context) { m.shareCrashes(ctx, unavailable) })
	m.crashTargets(3)
	m.evidence.notify(true)
	waitRefused(t, peer)
}

// TestRefusalIsPassedOn guards against a request being sent on at gateways that the gateway
// which saw its last crash does not reach.
func TestRefusalIsPassedOn(t *testing.T) {
	last, lastAddress := startPeer(t, "front-c")
	middle, middleAddress := startPeer(t, "front-b")
	first := newTestMembership("front-a")
	first.reset([]silltable.Row{rowOf(t, "front-b", middleAddress)}, 0)
	middle.reset([]silltable.Row{rowOf(t, "front-c", lastAddress)}, 0)
	group := sillgroup.New(t.Context())
	defer group.Stop()
	group.Go(func(ctx context.Context) { first.shareCrashes(ctx, unavailable) })
	group.Go(func(ctx context.Context) { middle.shareCrashes(ctx, unavailable) })
	first.crashTargets(3)
	first.evidence.notify(true)
	waitRefused(t, last)
}

// waitRefused waits until a gateway refuses the crashing content.
func waitRefused(t *testing.T, m *membership) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if m.evidence.suspects.Check(crashing) != nil {
			return
		}
	}
	checkRefuses(t, m, true)
}

// TestStoppingGatewayLeavesItsCrashes guards against a request that crashes its targets being
// counted anew by gateways that start while the one that saw the crashes stops.
func TestStoppingGatewayLeavesItsCrashes(t *testing.T) {
	table := &sillmemtable.Table{}
	store := table.Store()
	stopping := newTestMembership("front-a")
	stopping.renewOnce(t.Context(), store)
	stopping.write(t.Context(), store, true)
	group := sillgroup.New(t.Context())
	defer group.Stop()
	group.Go(func(ctx context.Context) { stopping.shareCrashes(ctx, store) })
	stopping.crashTargets(3)
	stopping.evidence.notify(true)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		started := newTestMembership("front-a")
		started.renewOnce(t.Context(), &silltable.Store{Get: store.Get, List: store.List, Commit: refuseCommit})
		if started.evidence.suspects.Check(crashing) != nil {
			return
		}
	}
	t.Error("a gateway that starts does not refuse the content")
}

func refuseCommit(context.Context, silltable.Txn) ([]silltable.Revision, error) {
	return nil, silltable.ErrUnavailable
}
