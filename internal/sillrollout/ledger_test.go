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
	spec := worldSpec()
	spec.Prompts, spec.GroupSize = []string{"p"}, 1
	return spec
}

func newLedger(t *testing.T, spec Spec) (*Ledger, *world) {
	t.Helper()
	w := newWorld(t, scenario{})
	w.move()
	if err := w.ledger.Create(t.Context(), spec); err != nil {
		t.Fatal(err)
	}
	return w.ledger, w
}

func formOne(t *testing.T, l *Ledger, guard silllease.Guard) error {
	t.Helper()
	sample := Sample{ID: sillid.SampleID{Batch: "b"}, TokenIDs: []int{1}, Spans: []sillattribution.Span{{From: 0, To: 1, Version: 1}}}
	return l.form(t.Context(), guard, oneGroup(), formation{groups: []int{0}, samples: []Sample{sample}})
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
		{"unknown delivery", func() error { return l.Acknowledge(t.Context(), worldOrganisation, "b", "b-9") }, ErrUnknownDelivery},
		{"foreign acknowledgement", func() error { return l.Acknowledge(t.Context(), "other", "b", "b-0") }, ErrUnknownBatch},
		{"foreign read", func() error { _, err := l.Next(t.Context(), "other", "b", 0); return err }, ErrUnknownBatch},
		{"form", func() error { return formOne(t, l, silllease.PermanentGuard(1)) }, nil},
		{"formed is not given", func() error { return l.Acknowledge(t.Context(), worldOrganisation, "b", "b-0") }, ErrUnknownDelivery},
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

func TestReplacedOwner(t *testing.T) {
	l, w := newLedger(t, oneGroup())
	old := w.guard(1)
	w.guard(2)
	if err := formOne(t, l, old); !errors.Is(err, silltable.ErrConflict) {
		t.Errorf("form() by a replaced owner = %v, want ErrConflict", err)
	}
}

func TestVersionMovesDuringClaim(t *testing.T) {
	l, w := newLedger(t, oneGroup())
	if err := formOne(t, l, silllease.PermanentGuard(1)); err != nil {
		t.Fatal(err)
	}
	commit := l.Store.Commit
	l.Store.Commit = func(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
		l.Store.Commit = commit
		w.move()
		w.move()
		return commit(ctx, txn)
	}
	if d, err := l.Next(t.Context(), worldOrganisation, "b", 0); err == nil || d.ID != "" {
		t.Errorf("Next() = %q, %v, want no delivery while the version moves", d.ID, err)
	}
	if d, err := l.Next(t.Context(), worldOrganisation, "b", 0); err != nil || d.ID != "" || d.Done {
		t.Errorf("Next() = %+v, %v, want the delivery withdrawn", d, err)
	}
}

func TestDoneWhileGroupsReturn(t *testing.T) {
	l, w := newLedger(t, oneGroup())
	guard := silllease.PermanentGuard(1)
	if err := errors.Join(formOne(t, l, guard), l.settle(t.Context(), guard, oneGroup(), nil, Closed)); err != nil {
		t.Fatal(err)
	}
	w.move()
	w.move()
	if _, err := l.Next(t.Context(), worldOrganisation, "b", 0); err != nil {
		t.Fatal(err)
	}
	list := l.Store.List
	l.Store.List = func(ctx context.Context, prefix, after string, limit int) ([]silltable.Row, error) {
		l.Store.List = list
		stored, err := l.deliveries(ctx, "b")
		if err == nil {
			_, err = l.takeBack(ctx, guard, "b", stored)
		}
		if err != nil {
			t.Error(err)
		}
		return list(ctx, prefix, after, limit)
	}
	if d, err := l.Next(t.Context(), worldOrganisation, "b", 0); err != nil || d.Done {
		t.Errorf("Next() = %+v, %v, want not done", d, err)
	}
}

func TestScorersEjection(t *testing.T) {
	now := time.Unix(0, 0)
	s := newScorers(2)
	for range ejectAfter {
		s.ended(now, 0, false)
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
