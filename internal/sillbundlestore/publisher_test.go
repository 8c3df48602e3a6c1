package sillbundlestore

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmemobject"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const testOperatorCount = 10

func operatorName(n int) sillbundle.OperatorName {
	return sillbundle.OperatorName(fmt.Sprint("operator-", n))
}

func newOperatorKey(n int) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{byte(n + 1)}, ed25519.SeedSize))
}

// operatorKeys holds the keys of the operators and, last, one that no operator has.
var operatorKeys = sync.OnceValue(func() []ed25519.PrivateKey {
	var keys []ed25519.PrivateKey
	for n := range testOperatorCount + 1 {
		keys = append(keys, newOperatorKey(n))
	}
	return keys
})

const unregisteredKey = testOperatorCount

func operatorKey(n int) ed25519.PrivateKey { return operatorKeys()[n] }

var testOperators = sync.OnceValue(func() sillbundle.Operators {
	operators := sillbundle.Operators{}
	for n := range testOperatorCount {
		operators[operatorName(n)] = operatorKey(n).Public().(ed25519.PublicKey)
	}
	return operators
})

// bundleWith returns a bundle with one organisation and its keys. Tests use the
// weight to distinguish bundles.
func bundleWith(weight int, keys ...string) *sillbundle.Bundle {
	o := sillbundle.Organisation{ID: "utility", Weight: weight, MaxConcurrent: 1}
	for _, k := range keys {
		o.Keys = append(o.Keys, sillbundle.Key{Label: k, Hash: sillbundle.HashKey(k)})
	}
	return &sillbundle.Bundle{Organisations: []sillbundle.Organisation{o}}
}

func signBy(n int, b *sillbundle.Bundle, base sillid.BundleVersion) *sillbundle.Signed {
	return sillbundle.Sign(b, base, operatorName(n), operatorKey(n))
}

// testStore is an in-memory store.
type testStore struct {
	table   sillmemtable.Table
	objects sillmemobject.Objects
}

func (s *testStore) publisher() *Publisher {
	return NewPublisher(PublisherConfig{
		Table: s.table.Store(), Objects: s.objects.Store(), Operators: testOperators(),
		Now: time.Now, RetryInterval: time.Millisecond,
	})
}

func (s *testStore) mustAccept(t *testing.T, signed *sillbundle.Signed) Accepted {
	t.Helper()
	accepted, err := s.publisher().Accept(context.Background(), signed)
	if err != nil {
		t.Fatal(err)
	}
	return accepted
}

func wantVersion(t *testing.T, got Accepted, v sillid.BundleVersion) {
	t.Helper()
	if got.Version != v {
		t.Errorf("version %d, want %d", got.Version, v)
	}
}

// faultAt returns a fault function that fails the n-th call: with unknown if the
// call is the response to a write, and with unavailable otherwise.
func faultAt(n int, calls *int, mu *sync.Mutex, unavailable, unknown error) func(context.Context, string) error {
	return func(_ context.Context, call string) error {
		mu.Lock()
		defer mu.Unlock()
		*calls++
		if *calls != n {
			return nil
		}
		if call == "commit-answer" || call == "put-answer" {
			return unknown
		}
		return unavailable
	}
}

func TestAcceptRecoversFromFaultAtEachCall(t *testing.T) {
	for n := 1; ; n++ {
		s := &testStore{}
		var mu sync.Mutex
		var calls int
		s.table.Fault = faultAt(n, &calls, &mu, silltable.ErrUnavailable, silltable.ErrUnknown)
		s.objects.Fault = faultAt(n, &calls, &mu, sillobject.ErrUnavailable, sillobject.ErrUnknown)
		wantVersion(t, s.mustAccept(t, signBy(0, bundleWith(1), 0)), 1)
		if calls < n {
			if n < 5 {
				t.Errorf("faults were injected into only %d calls", n-1)
			}
			return
		}
		history, err := s.publisher().History(context.Background(), 10)
		if err != nil || len(history) != 1 {
			t.Errorf("fault at call %d: history %v, %v", n, history, err)
		}
	}
}

func TestAcceptReportsOutcomeAfterLastAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		fault map[string]error
		want  error
	}{
		"refused":     {map[string]error{"commit": silltable.ErrUnavailable}, ErrNotAccepted},
		"answer lost": {map[string]error{"commit-answer": silltable.ErrUnknown}, ErrAcceptUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := &testStore{}
			var injected bool
			s.table.Fault = func(_ context.Context, call string) error {
				if injected && name == "answer lost" {
					return silltable.ErrUnavailable
				}
				if err := c.fault[call]; err != nil {
					injected = true
					return err
				}
				return nil
			}
			signed := signBy(0, bundleWith(1), 0)
			if _, err := s.publisher().Accept(context.Background(), signed); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
			s.table.Fault = nil
			wantVersion(t, s.mustAccept(t, signed), 1)
			wantVersion(t, s.mustAccept(t, signed), 1)
		})
	}
}

func TestAcceptRefusesAForeignSignature(t *testing.T) {
	s := &testStore{}
	foreign := sillbundle.Sign(bundleWith(1), 0, operatorName(0), operatorKey(unregisteredKey))
	if _, err := s.publisher().Accept(context.Background(), foreign); !errors.Is(err, sillbundle.ErrSignature) {
		t.Errorf("error %v", err)
	}
}

// race submits bundles as operator n until wins of them are accepted, and rebases
// after each conflict.
func race(ctx context.Context, t *testing.T, s *testStore, n, wins int, won func(Accepted)) {
	p := s.publisher()
	base := sillid.BundleVersion(0)
	for weight := 1; wins > 0; weight++ {
		accepted, err := p.Accept(ctx, signBy(n, bundleWith(weight), base))
		var conflict *Conflict
		switch {
		case err == nil:
			won(accepted)
			wins--
			base = accepted.Version
		case errors.As(err, &conflict):
			if conflict.Base < conflict.Current.Version && (conflict.Next.By == operatorName(n) || conflict.Next.Version != conflict.Base+1) {
				t.Errorf("operator %d: conflict names a wrong next version %+v", n, conflict.Next)
			}
			base = conflict.Current.Version
		case errors.Is(err, ErrNotAccepted), errors.Is(err, ErrAcceptUnknown):
			t.Errorf("operator %d: %v", n, err)
			return
		default:
			t.Error(err)
			return
		}
	}
}

func TestTenOperatorsRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &testStore{}
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(1, 1))
		s.table.Fault = func(_ context.Context, call string) error {
			time.Sleep(time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if call == "commit-answer" && random.IntN(3) == 0 {
				return silltable.ErrUnknown
			}
			return nil
		}
		winners := map[sillid.BundleVersion]Accepted{}
		group := sillgroup.New(t.Context())
		for n := range testOperatorCount {
			group.Go(func(ctx context.Context) {
				race(ctx, t, s, n, 3, func(a Accepted) {
					mu.Lock()
					defer mu.Unlock()
					if other, taken := winners[a.Version]; taken {
						t.Errorf("version %d accepted from both %q and %q", a.Version, other.By, a.By)
					}
					winners[a.Version] = a
				})
			})
		}
		group.Wait()
		history, err := s.publisher().History(context.Background(), 100)
		if err != nil || len(history) != 3*testOperatorCount || len(winners) != len(history) {
			t.Fatalf("%d versions, %d winners, %v", len(history), len(winners), err)
		}
		for _, a := range history {
			if winners[a.Version] != a {
				t.Errorf("version %d of %q is in the history, but Accept did not return it", a.Version, a.By)
			}
		}
	})
}

func (s *testStore) editor(n int) *Editor {
	p := s.publisher()
	load := func(ctx context.Context, v sillid.BundleVersion) (*sillbundle.Bundle, error) {
		signed, err := p.Load(ctx, v)
		if err != nil {
			return nil, err
		}
		return signed.Verify(testOperators())
	}
	return &Editor{
		Current: func(ctx context.Context) (sillid.BundleVersion, *sillbundle.Bundle, error) {
			head, err := p.Head(ctx)
			if err != nil {
				return 0, nil, err
			}
			b, err := load(ctx, head.Version)
			return head.Version, b, err
		},
		Load:   load,
		Accept: p.Accept,
		Sign: func(b *sillbundle.Bundle, base sillid.BundleVersion) *sillbundle.Signed {
			return signBy(n, b, base)
		},
	}
}

func TestRollBackIsANewVersionWithOldContent(t *testing.T) {
	s := &testStore{}
	s.mustAccept(t, signBy(0, bundleWith(1), 0))
	s.mustAccept(t, signBy(0, bundleWith(2), 1))
	accepted, err := s.editor(1).RollBack(context.Background(), 1)
	if err != nil {
		t.Fatal(err)
	}
	wantVersion(t, accepted, 3)
	signed, err := s.publisher().Load(context.Background(), 3)
	if err != nil || !bytes.Equal(signed.Bundle, bundleWith(1).Canonical()) {
		t.Errorf("content %s, %v", signed.Bundle, err)
	}
	if _, err := s.editor(1).RollBack(context.Background(), 9); !errors.Is(err, ErrNoVersion) {
		t.Errorf("unknown version: %v", err)
	}
}

func TestWithdrawKeyRebasesOnConflicts(t *testing.T) {
	s := &testStore{}
	s.mustAccept(t, signBy(0, bundleWith(1, "a", "b"), 0))
	e := s.editor(1)
	accept := e.Accept
	raced := false
	e.Accept = func(ctx context.Context, signed *sillbundle.Signed) (Accepted, error) {
		if !raced {
			raced = true
			s.mustAccept(t, signBy(2, bundleWith(7, "a", "b"), 1))
		}
		return accept(ctx, signed)
	}
	accepted, err := e.WithdrawKey(context.Background(), sillbundle.HashKey("a"))
	if err != nil {
		t.Fatal(err)
	}
	wantVersion(t, accepted, 3)
	signed, err := s.publisher().Load(context.Background(), 3)
	if err != nil || !bytes.Equal(signed.Bundle, bundleWith(7, "b").Canonical()) {
		t.Errorf("content %s, %v", signed.Bundle, err)
	}
}
