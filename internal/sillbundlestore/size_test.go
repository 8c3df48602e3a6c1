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

// Deployment size and time limit of the project's goal.
const (
	gateways = 410
	agents   = 720
	// inForceBound is the maximum time until a change is in force at every gateway.
	inForceBound = 8 * time.Second
)

// delayLog records how long a change took to reach each process.
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

// check fails the test unless the change reached every gateway within inForceBound.
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
		t.Logf("%.0f table reads a second without changes", float64(calls.Load())/window.Seconds())
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

// TestWithdrawalSpreadsWithoutTheStore exchanges only heartbeats between gateways
// and agents, where each gateway is connected to a subset of the agents.
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
	gatewayServices, agentServices := newFollowers(gateways), newFollowers(agents)
	w := sillbundle.SignWithdrawal(sillbundle.HashKey("a"), time.UnixMilli(1), operatorName(0), operatorKey(0))
	if err := gatewayServices[0].SubmitWithdrawal(w); err != nil {
		t.Fatal(err)
	}
	connections := assignAgents(random, subset)
	for round := 1; countWithdrawn(gatewayServices)+countWithdrawn(agentServices) < gateways+agents; round++ {
		if round > int(inForceBound/time.Second) {
			t.Fatalf("withdrawn at %d of %d gateways after %v of heartbeats", countWithdrawn(gatewayServices), gateways, inForceBound)
		}
		exchangeHeartbeats(t, gatewayServices, agentServices, connections)
		t.Logf("heartbeat %d: withdrawn at %d of %d gateways and %d of %d agents",
			round, countWithdrawn(gatewayServices), gateways, countWithdrawn(agentServices), agents)
	}
}

// connection connects a gateway and an agent, given by their indices.
type connection struct{ gateway, agent int }

// assignAgents assigns every gateway the same number of agents, and every agent
// about the same number of gateways.
func assignAgents(random *rand.Rand, subset int) []connection {
	var connections []connection
	var stack []int
	for g := range gateways {
		for range subset {
			if len(stack) == 0 {
				stack = random.Perm(agents)
			}
			connections = append(connections, connection{gateway: g, agent: stack[0]})
			stack = stack[1:]
		}
	}
	return connections
}

// exchangeHeartbeats sends one heartbeat in each direction of every connection. All
// digests are taken before the first heartbeat arrives.
func exchangeHeartbeats(t *testing.T, gatewayServices, agentServices []*Service, connections []connection) {
	t.Helper()
	digests := func(list []*Service) []Digest {
		var all []Digest
		for _, s := range list {
			all = append(all, s.Digest())
		}
		return all
	}
	fromGateways, fromAgents := digests(gatewayServices), digests(agentServices)
	handle := func(to, from *Service, d Digest) {
		if !to.HandleDigest(d).Withdrawals {
			return
		}
		if err := to.ApplyWithdrawals(from.Withdrawals()); err != nil {
			t.Error(err)
		}
	}
	for _, c := range connections {
		handle(gatewayServices[c.gateway], agentServices[c.agent], fromAgents[c.agent])
		handle(agentServices[c.agent], gatewayServices[c.gateway], fromGateways[c.gateway])
	}
}

func countWithdrawn(list []*Service) int {
	n := 0
	for _, s := range list {
		n += len(s.Snapshot().Withdrawn)
	}
	return n
}
