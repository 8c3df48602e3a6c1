package sillbundlestore

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func (s *testStore) service(seed uint64) *Service {
	return NewService(ServiceConfig{
		Follower:  FollowerConfig{Operators: testOperators()},
		Table:     s.table.Store(),
		Objects:   s.objects.Store(),
		Publisher: s.publisher(),
		Now:       time.Now,
		Random:    rand.New(rand.NewPCG(1, seed)),
	})
}

// setDown makes the table and the object store refuse calls while down is set.
func (s *testStore) setDown(down *atomic.Bool) {
	s.table.Fault = func(context.Context, string) error {
		if down.Load() {
			return silltable.ErrUnavailable
		}
		return nil
	}
	s.objects.Fault = func(context.Context, string) error {
		if down.Load() {
			return sillobject.ErrUnavailable
		}
		return nil
	}
}

// gossip sends the digest of every service to every other one, once.
func gossip(t *testing.T, services ...*Service) {
	t.Helper()
	for _, to := range services {
		for _, from := range services {
			if from == to {
				continue
			}
			need := to.HandleDigest(from.Digest())
			if need.Bundle {
				v, signed := from.Signed()
				if err := to.Offer(v, signed); err != nil {
					t.Error(err)
				}
			}
			if need.Withdrawals {
				if err := to.ApplyWithdrawals(from.Withdrawals()); err != nil {
					t.Error(err)
				}
			}
		}
	}
}

func wantInForce(t *testing.T, s *Service, v sillid.BundleVersion, ready bool) {
	t.Helper()
	if c := s.Snapshot(); c.Version != v || c.Ready != ready {
		t.Errorf("version %d, ready %v; want %d, %v", c.Version, c.Ready, v, ready)
	}
}

func wantKey(t *testing.T, s *Service, key string, want KeyState) {
	t.Helper()
	if o, state := s.Snapshot().Key(sillbundle.HashKey(key)); state != want || (o != nil) != (want == KeyInForce) {
		t.Errorf("key %s: state %v, organisation %v; want state %v", key, state, o, want)
	}
}

func TestRestartInOutageUsesHighestPeerVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		store := &testStore{}
		store.setDown(&down)
		group := sillgroup.New(t.Context())
		store.mustAccept(t, signBy(0, bundleWith(1), 0))
		behind, current, fresh := store.service(1), store.service(2), store.service(3)
		group.Go(behind.Run)
		group.Go(current.Run)
		time.Sleep(3 * time.Second)
		wantInForce(t, behind, 1, true)
		accepted := signBy(0, bundleWith(2), 1)
		store.mustAccept(t, accepted)
		down.Store(true)
		// The process that the operator called has the new version at once.
		if err := current.Offer(2, accepted); err != nil {
			t.Fatal(err)
		}
		group.Go(fresh.Run)
		time.Sleep(time.Minute)
		wantInForce(t, fresh, 0, false)
		fresh.HandleDigest(behind.Digest())
		v, signed := behind.Signed()
		if err := fresh.Offer(v, signed); err != nil {
			t.Fatal(err)
		}
		time.Sleep(DefaultPeerSettleDelay / 2)
		wantInForce(t, fresh, 1, false)
		need := fresh.HandleDigest(current.Digest())
		time.Sleep(DefaultPeerSettleDelay + DefaultPollInterval*2)
		wantInForce(t, fresh, 1, false)
		if !need.Bundle {
			t.Error("the higher version is not requested")
		}
		gossip(t, fresh, current, behind)
		time.Sleep(DefaultPollInterval * 2)
		wantInForce(t, fresh, 2, true)
		wantInForce(t, behind, 2, true)
		group.Stop()
	})
}

func TestFreshProcessWaitsForTheAcceptedVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &testStore{}
		first := signBy(0, bundleWith(1), 0)
		store.mustAccept(t, first)
		store.mustAccept(t, signBy(0, bundleWith(2), 1))
		var down atomic.Bool
		down.Store(true)
		store.objects.Fault = func(context.Context, string) error {
			if down.Load() {
				return sillobject.ErrUnavailable
			}
			return nil
		}
		s := store.service(1)
		group := sillgroup.New(t.Context())
		group.Go(s.Run)
		time.Sleep(time.Second)
		if err := s.Offer(1, first); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		wantInForce(t, s, 1, false)
		down.Store(false)
		time.Sleep(DefaultPollInterval * 2)
		wantInForce(t, s, 2, true)
		group.Stop()
	})
}

func TestWithdrawalDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		store := &testStore{}
		store.setDown(&down)
		store.mustAccept(t, signBy(0, bundleWith(1, "lost", "kept"), 0))
		a, b, fresh := store.service(1), store.service(2), store.service(3)
		group := sillgroup.New(t.Context())
		group.Go(a.Run)
		group.Go(b.Run)
		time.Sleep(3 * time.Second)
		wantKey(t, a, "lost", KeyInForce)
		down.Store(true)
		w := sillbundle.SignWithdrawal(sillbundle.HashKey("lost"), time.Now(), operatorName(3), operatorKey(3))
		if err := a.SubmitWithdrawal(w); err != nil {
			t.Fatal(err)
		}
		wantKey(t, a, "lost", KeyWithdrawn)
		wantKey(t, a, "kept", KeyInForce)
		gossip(t, a, b)
		wantKey(t, b, "lost", KeyWithdrawn)
		down.Store(false)
		time.Sleep(10 * time.Second)
		// A new version that contains the key again does not make it valid.
		store.mustAccept(t, signBy(0, bundleWith(2, "lost", "kept"), 1))
		group.Go(fresh.Run)
		time.Sleep(3 * time.Second)
		wantInForce(t, fresh, 2, true)
		wantKey(t, fresh, "lost", KeyWithdrawn)
		wantKey(t, fresh, "kept", KeyInForce)
		group.Stop()
	})
}

func TestWithdrawalNeedsAnOperator(t *testing.T) {
	store := &testStore{}
	s := store.service(1)
	w := sillbundle.SignWithdrawal(sillbundle.HashKey("kept"), time.Now(), operatorName(0), operatorKey(unregisteredKey))
	if err := s.SubmitWithdrawal(w); err == nil || len(s.Snapshot().Withdrawn) != 0 {
		t.Error("a forged withdrawal was applied")
	}
}

func TestConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var down atomic.Bool
		store := &testStore{}
		store.setDown(&down)
		store.mustAccept(t, signBy(0, bundleWith(1), 0))
		a, b := store.service(1), store.service(2)
		group := sillgroup.New(t.Context())
		group.Go(a.Run)
		group.Go(b.Run)
		time.Sleep(5 * time.Second)
		wantFresh := func(when string, want bool) {
			t.Helper()
			if a.Snapshot().Fresh(time.Now()) != want {
				t.Errorf("%s: fresh %v, want %v", when, !want, want)
			}
		}
		wantFresh("store and peers", true)
		down.Store(true)
		for range 100 {
			time.Sleep(time.Second)
			gossip(t, a, b)
		}
		wantFresh("store down, peers reachable", true)
		time.Sleep(DefaultIsolatedLimit + time.Second)
		wantFresh("store down, no contact to peers", false)
		gossip(t, a, b)
		wantFresh("store down, peers reachable again", true)
		time.Sleep(DefaultUnconfirmedLimit)
		gossip(t, a, b)
		wantFresh("store down for longer than the limit", false)
		group.Stop()
	})
}

func BenchmarkSnapshotKey(b *testing.B) {
	f := NewFollower(FollowerConfig{Operators: testOperators()})
	if err := f.Offer(time.Now(), 1, signBy(0, bundleWith(1, "a"), 0)); err != nil {
		b.Fatal(err)
	}
	hash := sillbundle.HashKey("a")
	for b.Loop() {
		if _, state := f.Snapshot().Key(hash); state != KeyInForce {
			b.Fatal("not in force")
		}
	}
}

func TestAgentIsReadyOnceAPeerConfirms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &testStore{}
		store.mustAccept(t, signBy(0, bundleWith(1), 0))
		gateway := store.service(1)
		agent := NewService(ServiceConfig{Follower: FollowerConfig{Operators: testOperators()}, Now: time.Now})
		group := sillgroup.New(t.Context())
		group.Go(gateway.Run)
		time.Sleep(time.Second)
		gossip(t, agent, gateway)
		// The gateway's last read of the head row was before the agent's start.
		wantInForce(t, agent, 1, false)
		time.Sleep(DefaultPollInterval * 5 / 4)
		gossip(t, agent, gateway)
		wantInForce(t, agent, 1, true)
		if !agent.Snapshot().Fresh(time.Now()) {
			t.Error("the gateway's confirmation does not count at the agent")
		}
		group.Stop()
	})
}

func TestFreshProcessKnowsWithdrawalsBeforeItServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &testStore{}
		store.mustAccept(t, signBy(0, bundleWith(1), 0))
		notice := sillbundle.SignWithdrawal(sillbundle.HashKey("k1"), time.Now(), operatorName(0), operatorKey(0))
		if err := store.publisher().RecordWithdrawal(t.Context(), notice); err != nil {
			t.Fatal(err)
		}
		var down atomic.Bool
		down.Store(true)
		store.table.Fault = func(_ context.Context, call string) error {
			if down.Load() && call == "list" {
				return silltable.ErrUnavailable
			}
			return nil
		}
		group := sillgroup.New(t.Context())
		s := store.service(1)
		group.Go(s.Run)
		time.Sleep(time.Minute)
		if s.Snapshot().Ready {
			t.Error("the process is ready before it knows the withdrawals")
		}
		down.Store(false)
		time.Sleep(2 * DefaultPollInterval)
		wantInForce(t, s, 1, true)
		if _, known := s.Snapshot().Withdrawn[notice.KeyHash]; !known {
			t.Error("the withdrawal is not known")
		}
		group.Stop()
	})
}

func TestFreshProcessTakesNoConfirmationFromBeforeItsStart(t *testing.T) {
	f := NewFollower(FollowerConfig{Operators: testOperators()})
	began := time.Unix(1_800_000_000, 0)
	f.Tick(began)
	now := began.Add(time.Second)
	if err := f.Offer(now, 1, signBy(0, bundleWith(1), 0)); err != nil {
		t.Fatal(err)
	}
	f.ObservePeer(now, 1, true, 2*time.Second)
	if f.Snapshot().Ready {
		t.Error("ready with a version that was confirmed only before the start")
	}
	f.ObservePeer(now, 1, true, time.Second/2)
	if !f.Snapshot().Ready {
		t.Error("not ready with a version that was confirmed after the start")
	}
}
