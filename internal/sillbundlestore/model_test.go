package sillbundlestore

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// acceptModel submits bundles to a table that refuses calls, loses responses and
// commits transactions long after their senders have abandoned them.
type acceptModel struct {
	store testStore
	// delayed holds transactions that may still be committed.
	delayed []silltable.Txn
	// reported maps each signed bundle whose Accept succeeded to its version.
	reported map[ObjectHash]sillid.BundleVersion
	// refused holds the signed bundles whose Accept returned that nothing was accepted.
	refused map[ObjectHash]bool
	weight  int
}

func (m *acceptModel) faultyTable(t *rapid.T) *silltable.Store {
	inner := m.store.table.Store()
	return &silltable.Store{
		Get: func(ctx context.Context, key string) (silltable.Row, error) {
			if rapid.IntRange(0, 9).Draw(t, "get") == 0 {
				return silltable.Row{}, silltable.ErrUnavailable
			}
			return inner.Get(ctx, key)
		},
		List: inner.List,
		Commit: func(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
			switch rapid.IntRange(0, 5).Draw(t, "commit") {
			case 0:
				return nil, silltable.ErrUnavailable
			case 1:
				m.delayed = append(m.delayed, txn)
				return nil, silltable.ErrUnknown
			case 2:
				_, _ = inner.Commit(ctx, txn)
				return nil, silltable.ErrUnknown
			}
			return inner.Commit(ctx, txn)
		},
	}
}

func (m *acceptModel) publisher(t *rapid.T) *Publisher {
	return NewPublisher(PublisherConfig{
		Table: m.faultyTable(t), Objects: m.store.objects.Store(), Operators: testOperators(),
		Now: func() time.Time { return time.UnixMilli(1) }, Attempts: 3, RetryInterval: time.Nanosecond,
	})
}

func (m *acceptModel) accept(t *rapid.T) {
	head, _ := m.store.publisher().Head(context.Background())
	behind := rapid.IntRange(0, 2).Draw(t, "behind")
	base := sillid.BundleVersion(max(0, int(head.Version)-behind))
	m.weight++
	signed := signBy(rapid.IntRange(0, testOperatorCount-1).Draw(t, "operator"), bundleWith(m.weight), base)
	_, hash := encodeSigned(signed)
	accepted, err := m.publisher(t).Accept(context.Background(), signed)
	var conflict *Conflict
	switch {
	case err == nil:
		m.reported[hash] = accepted.Version
	case errors.As(err, &conflict), errors.Is(err, ErrNotAccepted):
		m.refused[hash] = true
	}
}

func (m *acceptModel) record(t *rapid.T) {
	n := rapid.IntRange(0, 5).Draw(t, "key")
	w := sillbundle.SignWithdrawal(sillbundle.HashKey(string(rune('a'+n))), time.UnixMilli(1), operatorName(0), operatorKey(0))
	// Any outcome is allowed; check compares the head row's count with the rows.
	_ = m.publisher(t).RecordWithdrawal(context.Background(), w)
}

func (m *acceptModel) runDelayedCommit(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "delayed")
	_, _ = m.store.table.Store().Commit(context.Background(), m.delayed[i])
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

func (m *acceptModel) check(t *rapid.T) {
	ctx := context.Background()
	p := m.store.publisher()
	head, err := p.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	history, err := p.History(ctx, 1000)
	if err != nil || len(history) != int(head.Version) {
		t.Fatalf("%d versions in the history, head version %d, %v", len(history), head.Version, err)
	}
	byHash := map[ObjectHash]sillid.BundleVersion{}
	for i, a := range history {
		if a.Version != head.Version-sillid.BundleVersion(i) {
			t.Fatalf("version %d at index %d of the history", a.Version, i)
		}
		if m.refused[a.Hash] {
			t.Fatalf("version %d is in the history, but Accept returned that it was not accepted", a.Version)
		}
		byHash[a.Hash] = a.Version
	}
	for hash, v := range m.reported {
		if byHash[hash] != v {
			t.Fatalf("Accept returned version %d, which is another signed bundle", v)
		}
	}
	rows, err := m.store.table.Store().ListAll(ctx, withdrawalPrefix)
	if err != nil || len(rows) != head.Withdrawals {
		t.Fatalf("%d withdrawals counted, %d rows, %v", head.Withdrawals, len(rows), err)
	}
}

func TestModelAccept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &acceptModel{reported: map[ObjectHash]sillid.BundleVersion{}, refused: map[ObjectHash]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"":                 m.check,
			"accept":           m.accept,
			"record":           m.record,
			"runDelayedCommit": m.runDelayedCommit,
		})
	})
}

// TestModelFollowerNeverReverts offers valid and forged versions in any order.
func TestModelFollowerNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		f := NewFollower(FollowerConfig{Operators: testOperators()})
		withdrawn := 0
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {},
			"offer": func(t *rapid.T) {
				v := sillid.BundleVersion(rapid.IntRange(1, 30).Draw(t, "version"))
				base := v - 1 + sillid.BundleVersion(rapid.IntRange(0, 1).Draw(t, "wrong base"))
				signer := rapid.SampledFrom([]int{0, 1, unregisteredKey}).Draw(t, "key")
				signed := sillbundle.Sign(bundleWith(int(v)), base, operatorName(0), operatorKey(signer))
				before := f.Snapshot().Version
				err := f.Offer(now, v, signed)
				after := f.Snapshot().Version
				allowed := v > before && base == v-1 && signer == 0
				if (err == nil) != allowed || after < before || (allowed && after != v) || (!allowed && after != before) {
					t.Fatalf("offered version %d at version %d: now version %d, %v", v, before, after, err)
				}
			},
			"withdraw": func(t *rapid.T) {
				key := rapid.StringMatching("[a-c]").Draw(t, "key")
				w := sillbundle.SignWithdrawal(sillbundle.HashKey(key), now, operatorName(0), operatorKey(0))
				if _, err := f.Withdraw(now, w); err != nil || len(f.Snapshot().Withdrawn) < withdrawn {
					t.Fatal("a withdrawal was lost")
				}
				withdrawn = len(f.Snapshot().Withdrawn)
			},
			"confirm": func(t *rapid.T) {
				now = now.Add(time.Second)
				before := f.Snapshot().ConfirmedAt
				v := sillid.BundleVersion(rapid.IntRange(0, 30).Draw(t, "version"))
				f.ObservePeer(now, v, true, time.Duration(rapid.IntRange(0, 9).Draw(t, "age"))*time.Second)
				if f.Snapshot().ConfirmedAt.Before(before) || (v > f.Snapshot().Version && !f.Snapshot().ConfirmedAt.Equal(before)) {
					t.Fatalf("ConfirmedAt changed from %v to %v", before, f.Snapshot().ConfirmedAt)
				}
			},
		})
	})
}
