package sillbundlestore

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// Sizes of the aim.
const (
	gateways     = 410
	agents       = 720
	inForceBound = 8 * time.Second
)

// delayLog collects how long a change took to reach each process.
type delayLog struct {
	mu     sync.Mutex
	start  time.Time
	delays []time.Duration
}

func (l *delayLog) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start = time.Now()
	l.delays = nil
}

func (l *delayLog) reached() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delays = append(l.delays, time.Since(l.start))
}

// check fails unless every gateway was reached within the bound.
func (l *delayLog) check(t *testing.T, what string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	slices.Sort(l.delays)
	if len(l.delays) != gateways || l.delays[gateways-1] > inForceBound {
		t.Fatalf("%s at %d of %d gateways after %v", what, len(l.delays), gateways, inForceBound)
	}
	t.Logf("%s at half of %d gateways after %v, at 99%% after %v, at all after %v", what, gateways,
		l.delays[gateways/2], l.delays[gateways*99/100], l.delays[gateways-1])
}

func TestInForceAtEveryGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		store := &testStore{}
		store.mustAccept(t, signBy(0, bundleWith(1, "a"), 0))
		store.table.Fault = func(context.Context, string) error {
			calls.Add(1)
			return nil
		}
		log := &delayLog{}
		group := sillgroup.New(t.Context())
		for n := range gateways {
			s := store.service(uint64(n))
			s.cfg.OnChange = func(*Snapshot) { log.reached() }
			group.Go(s.Run)
		}
		const window = 20 * time.Second
		time.Sleep(window)
		calls.Store(0)
		time.Sleep(window)
		t.Logf("%.0f table reads a second in rest", float64(calls.Load())/window.Seconds())
		log.begin()
		store.mustAccept(t, signBy(0, bundleWith(2, "a"), 1))
		time.Sleep(inForceBound)
		log.check(t, "version in force")
		log.begin()
		w := sillbundle.SignWithdrawal(sillbundle.HashKey("a"), time.Now(), operatorName(0), operatorKey(0))
		if err := store.publisher().RecordWithdrawal(t.Context(), w); err != nil {
			t.Fatal(err)
		}
		time.Sleep(inForceBound)
		log.check(t, "key withdrawn")
		group.Stop()
	})
}

// TestWithdrawalSpreadsWithoutTheStore lets gateways and agents exchange
// heartbeats only, over the connections of a subset of agents for each gateway.
func TestWithdrawalSpreadsWithoutTheStore(t *testing.T) {
	const subset = 12
	random := rand.New(rand.NewPCG(1, 1))
	newFollowers := func(n int) []*Service {
		list := make([]*Service, n)
		for i := range list {
			list[i] = NewService(ServiceConfig{Follower: FollowerConfig{Operators: testOperators()}, Now: time.Now})
		}
		return list
	}
	front, back := newFollowers(gateways), newFollowers(agents)
	w := sillbundle.SignWithdrawal(sillbundle.HashKey("a"), time.UnixMilli(1), operatorName(0), operatorKey(0))
	if err := front[0].SubmitWithdrawal(w); err != nil {
		t.Fatal(err)
	}
	connections := dealAgents(random, subset)
	for round := 1; countWithdrawn(front)+countWithdrawn(back) < gateways+agents; round++ {
		if round > int(inForceBound/time.Second) {
			t.Fatalf("withdrawn at %d of %d gateways after %v of heartbeats", countWithdrawn(front), gateways, inForceBound)
		}
		heartbeat(t, front, back, connections)
		t.Logf("heartbeat %d: withdrawn at %d of %d gateways and %d of %d agents",
			round, countWithdrawn(front), gateways, countWithdrawn(back), agents)
	}
}

// connection joins a gateway and an agent.
type connection struct{ gateway, agent int }

// dealAgents gives every gateway the same number of agents, and every agent
// about the same number of gateways.
func dealAgents(random *rand.Rand, subset int) []connection {
	var dealt []connection
	var stack []int
	for g := range gateways {
		for range subset {
			if len(stack) == 0 {
				stack = random.Perm(agents)
			}
			dealt = append(dealt, connection{gateway: g, agent: stack[0]})
			stack = stack[1:]
		}
	}
	return dealt
}

// heartbeat sends one heartbeat in each direction of every connection, with what
// the senders knew before any of them arrived.
func heartbeat(t *testing.T, front, back []*Service, connections []connection) {
	t.Helper()
	digests := func(list []*Service) []Digest {
		var all []Digest
		for _, s := range list {
			all = append(all, s.Digest())
		}
		return all
	}
	fromFront, fromBack := digests(front), digests(back)
	hear := func(to, from *Service, d Digest) {
		if !to.HandleDigest(d).Withdrawals {
			return
		}
		if err := to.ApplyWithdrawals(from.Withdrawals()); err != nil {
			t.Error(err)
		}
	}
	for _, c := range connections {
		hear(front[c.gateway], back[c.agent], fromBack[c.agent])
		hear(back[c.agent], front[c.gateway], fromFront[c.gateway])
	}
}

func countWithdrawn(list []*Service) int {
	n := 0
	for _, s := range list {
		n += len(s.Snapshot().Withdrawn)
	}
	return n
}
