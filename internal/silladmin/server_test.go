package silladmin

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillmemobject"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const testToken = "operator-token"

var annKey = ed25519.NewKeyFromSeed(bytes.Repeat([]byte{1}, ed25519.SeedSize))

// fixture is an administration API over a store in memory.
type fixture struct {
	client    *Client
	table     *sillmemtable.Table
	applied   []sillid.BundleVersion
	withdrawn []sillbundle.KeyHash
	drained   []sillid.TargetID
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{table: &sillmemtable.Table{}}
	operators := sillbundle.Operators{"ann": annKey.Public().(ed25519.PublicKey)}
	objects := &sillmemobject.Objects{}
	handler := New(Config{
		Publisher: sillbundlestore.NewPublisher(sillbundlestore.PublisherConfig{
			Table: f.table.Store(), Objects: objects.Store(), Operators: operators,
			Now: time.Now, RetryInterval: time.Nanosecond,
		}),
		Credentials: []Credential{{Operator: "ann", TokenHash: sillbundle.HashKey(testToken)}},
		Operators:   operators,
		Apply:       func(v sillid.BundleVersion, _ *sillbundle.Signed) { f.applied = append(f.applied, v) },
		Withdraw: func(w sillbundle.Withdrawal) error {
			f.withdrawn = append(f.withdrawn, w.KeyHash)
			return nil
		},
		Processes: func() []ProcessStatus { return []ProcessStatus{{Process: "gateway-1", Version: 1}} },
		Targets:   func() []TargetStatus { return []TargetStatus{{Target: "cue-1", State: "live"}} },
		Drain: func(_ context.Context, target sillid.TargetID) error {
			if target != "cue-1" {
				return ErrNoTarget
			}
			f.drained = append(f.drained, target)
			return nil
		},
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f.client = &Client{BaseURL: server.URL, Token: testToken, HTTP: server.Client()}
	return f
}

func bundleOfWeight(weight int) *sillbundle.Bundle {
	return &sillbundle.Bundle{Organisations: []sillbundle.Organisation{{
		ID: "utility", Weight: weight, MaxConcurrent: 1,
		Keys: []sillbundle.Key{{Label: "main", Hash: sillbundle.HashKey("k")}},
	}}}
}

func sign(weight int, base sillid.BundleVersion) *sillbundle.Signed {
	return sillbundle.Sign(bundleOfWeight(weight), base, "ann", annKey)
}

func (f *fixture) mustAccept(t *testing.T, signed *sillbundle.Signed) {
	t.Helper()
	if _, err := f.client.Accept(context.Background(), signed); err != nil {
		t.Fatal(err)
	}
}

func wantKind(t *testing.T, err error, kind sillproblem.Kind, detail string) {
	t.Helper()
	var refused *RefusedError
	if !errors.As(err, &refused) || refused.Kind != kind || !strings.Contains(refused.Detail, detail) {
		t.Errorf("error %v, want kind %s with %q", err, kind, detail)
	}
}

func TestCredentials(t *testing.T) {
	f := newFixture(t)
	for token, kind := range map[string]sillproblem.Kind{"": sillproblem.KeyMissing, "other": sillproblem.KeyUnknown} {
		c := *f.client
		c.Token = token
		for _, path := range []string{"/bundle", "/bundle/status", "/targets"} {
			wantKind(t, c.call(context.Background(), http.MethodGet, path, nil, &struct{}{}), kind, "")
		}
		_, err := c.Accept(context.Background(), sign(1, 0))
		wantKind(t, err, kind, "")
	}
	if len(f.applied) != 0 {
		t.Error("a call without a credential was carried out")
	}
}

func TestBundleCalls(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	if v, _, err := f.client.Bundle(ctx, 0); v != 0 || err != nil {
		t.Errorf("before the first bundle: %d, %v", v, err)
	}
	f.mustAccept(t, sign(1, 0))
	f.mustAccept(t, sign(2, 1))
	_, err := f.client.Accept(ctx, sign(3, 1))
	wantKind(t, err, sillproblem.BundleConflict, `operator "ann" changed version 1 first; the current version is 2`)
	foreign := sign(3, 2)
	foreign.Base = 7
	_, err = f.client.Accept(ctx, foreign)
	wantKind(t, err, sillproblem.BundleInvalid, "signature")
	_, err = f.client.RollBack(ctx, 1, sign(5, 2))
	wantKind(t, err, sillproblem.BundleInvalid, "not the content of version 1")
	accepted, err := f.client.RollBack(ctx, 1, sign(1, 2))
	if err != nil || accepted.Version != 3 {
		t.Errorf("roll-back: %+v, %v", accepted, err)
	}
	_, _, err = f.client.Bundle(ctx, 9)
	wantKind(t, err, sillproblem.NotFound, "")
	v, b, err := f.client.Bundle(ctx, 2)
	if err != nil || v != 2 || b.Organisations[0].Weight != 2 {
		t.Errorf("version 2: %d, %+v, %v", v, b, err)
	}
	history, err := f.client.History(ctx, 2)
	if err != nil || len(history) != 2 || history[0].Version != 3 {
		t.Errorf("history %+v, %v", history, err)
	}
	head, processes, err := f.client.Status(ctx)
	if err != nil || head == nil || head.Version != 3 || len(processes) != 1 {
		t.Errorf("status %+v, %+v, %v", head, processes, err)
	}
	if len(f.applied) != 3 {
		t.Errorf("applied %v", f.applied)
	}
}

func TestDiffShowsChangesAndFaults(t *testing.T) {
	f := newFixture(t)
	f.mustAccept(t, sign(1, 0))
	var result diffAnswer
	err := f.client.call(context.Background(), http.MethodPost, "/bundle/diff", bundleOfWeight(-2), &result)
	if err != nil || result.Base != 1 || len(result.Changes) != 1 || len(result.Faults) != 1 {
		t.Errorf("diff %+v, %v", result, err)
	}
}

func TestOutage(t *testing.T) {
	f := newFixture(t)
	f.mustAccept(t, sign(1, 0))
	f.table.Fault = func(context.Context, string) error { return silltable.ErrUnavailable }
	ctx := context.Background()
	_, err := f.client.Accept(ctx, sign(2, 1))
	wantKind(t, err, sillproblem.StoreUnavailable, "nothing was accepted")
	w := sillbundle.SignWithdrawal(sillbundle.HashKey("k"), time.Now(), "ann", annKey)
	recorded, err := f.client.Withdraw(ctx, w)
	if err != nil || recorded || len(f.withdrawn) != 1 {
		t.Errorf("withdrawal: recorded %v, applied %v, %v", recorded, f.withdrawn, err)
	}
	head, processes, err := f.client.Status(ctx)
	if err != nil || head != nil || len(processes) != 1 {
		t.Errorf("status %+v, %+v, %v", head, processes, err)
	}
}

func TestWithdrawalOfAStranger(t *testing.T) {
	f := newFixture(t)
	stranger := ed25519.NewKeyFromSeed(bytes.Repeat([]byte{9}, ed25519.SeedSize))
	w := sillbundle.SignWithdrawal(sillbundle.HashKey("k"), time.Now(), "ann", stranger)
	_, err := f.client.Withdraw(context.Background(), w)
	wantKind(t, err, sillproblem.BundleInvalid, "signature")
	if len(f.withdrawn) != 0 {
		t.Error("the notice was applied")
	}
}

func TestDrain(t *testing.T) {
	f := newFixture(t)
	ctx := context.Background()
	wantKind(t, f.client.call(ctx, http.MethodPost, "/targets/nowhere/drain", nil, nil), sillproblem.NotFound, "no such target")
	// The answer has no body.
	_ = f.client.call(ctx, http.MethodPost, "/targets/cue-1/drain", nil, nil)
	if len(f.drained) != 1 {
		t.Errorf("drained %v", f.drained)
	}
	wantKind(t, f.client.call(ctx, http.MethodGet, "/nowhere", nil, nil), sillproblem.NotFound, "")
}
