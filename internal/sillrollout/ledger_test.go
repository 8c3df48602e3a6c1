package sillrollout

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func oneGroup() Spec {
	spec := testSpec()
	spec.Prompts, spec.GroupSize = []string{"p"}, 1
	return spec
}

func newLedger(t *testing.T, spec Spec) (*Ledger, *testbed) {
	t.Helper()
	tb := newTestbed(t, scenario{})
	tb.publishVersion()
	if err := tb.ledger.Create(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	return tb.ledger, tb
}

func formOne(t *testing.T, l *Ledger, guard silllease.Guard) error {
	t.Helper()
	sample := Sample{ID: sillid.SampleID{Batch: "b"}, TokenIDs: []int{1}, Spans: []sillattribution.Span{{From: 0, To: 1, Version: 1}}}
	return l.form(t.Context(), guard, oneGroup(), deliveryDraft{groups: []int{0}, samples: []Sample{sample}})
}

func TestLedgerRefusals(t *testing.T) {
	l, _ := newLedger(t, oneGroup())
	other := oneGroup()
	other.MaxTokens++
	tests := []struct {
		name string
		call func() error
		want error
	}{
		{"same content", func() error { return l.Create(t.Context(), oneGroup()) }, nil},
		{"other content", func() error { return l.Create(t.Context(), other) }, ErrBatchIDTaken},
		{"unknown delivery", func() error { return l.Acknowledge(t.Context(), testOrganisation, "b", "b-9") }, ErrUnknownDelivery},
		{"foreign acknowledgement", func() error { return l.Acknowledge(t.Context(), "other", "b", "b-0") }, ErrUnknownBatch},
		{"foreign read", func() error { _, err := l.Next(t.Context(), "other", "b", 0); return err }, ErrUnknownBatch},
		{"form", func() error { return formOne(t, l, silllease.PermanentGuard(1)) }, nil},
		{"formed is not given", func() error { return l.Acknowledge(t.Context(), testOrganisation, "b", "b-0") }, ErrUnknownDelivery},
		{"form again", func() error { return formOne(t, l, silllease.PermanentGuard(1)) }, silltable.ErrConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if err := tt.call(); !errors.Is(err, tt.want) {
				t.Errorf("error = %v, want %v", err, tt.want)
			}
		})
	}
}

// TestReplacedOwner checks that an owner whose lease was taken over can't form a
// delivery.
func TestReplacedOwner(t *testing.T) {
	l, tb := newLedger(t, oneGroup())
	old := tb.guard(1)
	tb.guard(2)
	if err := formOne(t, l, old); !errors.Is(err, silltable.ErrConflict) {
		t.Errorf("form() by a replaced owner = %v, want ErrConflict", err)
	}
}

// TestVersionMovesDuringClaim checks that no delivery is given if the trainer's version
// changes between its comparison with the staleness bound and the claim.
func TestVersionMovesDuringClaim(t *testing.T) {
	l, tb := newLedger(t, oneGroup())
	if err := formOne(t, l, silllease.PermanentGuard(1)); err != nil {
		t.Fatal(err)
	}
	commit := l.Store.Commit
	l.Store.Commit = func(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
		l.Store.Commit = commit
		tb.publishVersion()
		tb.publishVersion()
		return commit(ctx, txn)
	}
	if d, err := l.Next(t.Context(), testOrganisation, "b", 0); err == nil || d.ID != "" {
		t.Errorf("Next() = %q, %v, want no delivery while the version moves", d.ID, err)
	}
	if d, err := l.Next(t.Context(), testOrganisation, "b", 0); err != nil || d.ID != "" || d.Done {
		t.Errorf("Next() = %+v, %v, want the delivery withdrawn", d, err)
	}
}

// TestNotDoneWhileGroupsReopen checks that Next does not report a batch as done if the
// owner reopens the groups of a withdrawn delivery, and so deletes its row, after Next
// has read the batch row and before it lists the deliveries.
func TestNotDoneWhileGroupsReopen(t *testing.T) {
	l, tb := newLedger(t, oneGroup())
	guard := silllease.PermanentGuard(1)
	if err := errors.Join(formOne(t, l, guard), l.settle(t.Context(), guard, oneGroup(), nil, Closed)); err != nil {
		t.Fatal(err)
	}
	tb.publishVersion()
	tb.publishVersion()
	if _, err := l.Next(t.Context(), testOrganisation, "b", 0); err != nil {
		t.Fatal(err)
	}
	list := l.Store.List
	l.Store.List = func(ctx context.Context, prefix, after string, limit int) ([]silltable.Row, error) {
		l.Store.List = list
		stored, err := l.deliveries(ctx, "b")
		if err == nil {
			_, err = l.reopenWithdrawn(ctx, guard, "b", stored)
		}
		if err != nil {
			t.Error(err)
		}
		return list(ctx, prefix, after, limit)
	}
	if d, err := l.Next(t.Context(), testOrganisation, "b", 0); err != nil || d.Done {
		t.Errorf("Next() = %+v, %v, want not done", d, err)
	}
}

func TestScorersEjection(t *testing.T) {
	now := time.Unix(0, 0)
	s := newScorers(2)
	for range ejectAfter {
		s.record(now, 0, false)
	}
	for range 4 {
		if i := s.pick(now); i != 1 {
			t.Errorf("pick() = %d, want the scorer that works", i)
		}
	}
	s.pick(now.Add(ejectFor))
	if a, b := s.pick(now.Add(ejectFor)), s.pick(now.Add(ejectFor)); a == b {
		t.Errorf("pick() = %d twice, want both after the ejection", a)
	}
}
