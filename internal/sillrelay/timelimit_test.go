package sillrelay

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// slowTable is a table service behind a link on which a page of rows takes a time.
type slowTable struct {
	pages    int
	pageTime time.Duration
	// away is whether the service answers nothing.
	away bool
}

func (s *slowTable) wait(ctx context.Context, d time.Duration) error {
	if s.away {
		<-ctx.Done()
		return silltable.ErrUnavailable
	}
	select {
	case <-ctx.Done():
		return silltable.ErrUnavailable
	case <-time.After(d):
		return nil
	}
}

func (s *slowTable) relay() *Relay {
	return New(Config{
		Table: &silltable.Store{
			Get: func(ctx context.Context, _ string) (silltable.Row, error) {
				return silltable.Row{}, s.wait(ctx, time.Millisecond)
			},
			Commit: func(ctx context.Context, _ silltable.Txn) ([]silltable.Revision, error) {
				if s.wait(ctx, s.pageTime) != nil {
					return nil, silltable.ErrUnknown
				}
				return nil, nil
			},
		},
		Feed: &silltable.Feed{ReadPage: func(ctx context.Context, r silltable.Range) (silltable.RangePage, error) {
			if err := s.wait(ctx, s.pageTime); err != nil {
				return silltable.RangePage{}, err
			}
			n, _ := strconv.Atoi(r.From)
			page := silltable.RangePage{Rows: []silltable.Row{{Key: r.From}}}
			if n+1 < s.pages {
				page.Next = strconv.Itoa(n + 1)
			}
			return page, nil
		}},
		Peers: func() []string { return nil }, ProbeKey: "t/probe", Log: zap.NewNop(),
	})
}

func checkUnreachable(t *testing.T, r *Relay, want bool) {
	t.Helper()
	if got := r.Unreachable(); got != want {
		t.Errorf("the service counts as out of reach: %t, want %t", got, want)
	}
}

// TestReadOfManyPages guards against a time limit of one call for a read of many: a job of
// megabytes could be written, and never be read again.
func TestReadOfManyPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := slowTable{pages: 40, pageTime: 400 * time.Millisecond}
		r := s.relay()
		snapshot, err := r.Feed().Read(t.Context(), "t", "p", "")
		if err != nil || len(snapshot.Rows) != s.pages {
			t.Errorf("%d rows, %v; want %d", len(snapshot.Rows), err, s.pages)
		}
		checkUnreachable(t, r, false)
	})
}

// TestLargeCallsAreSlowNotAway guards against a call with many bytes that takes long making
// the service count as out of reach for all other calls.
func TestLargeCallsAreSlowNotAway(t *testing.T) {
	large := silltable.Txn{Writes: []silltable.Write{{Key: "t/a", Value: make([]byte, 640<<10)}}}
	calls := map[string]func(ctx context.Context, r *Relay) error{
		"page": func(ctx context.Context, r *Relay) error {
			_, err := r.Feed().ReadPage(ctx, silltable.Range{Table: "t", Large: true})
			return err
		},
		"commit": func(ctx context.Context, r *Relay) error {
			_, err := r.Table().Commit(ctx, large)
			return err
		},
	}
	for name, call := range calls {
		for _, tc := range []struct {
			what            string
			table           slowTable
			fails, outOfUse bool
		}{
			{"slower than a small call may be", slowTable{pageTime: time.Second}, false, false},
			{"too slow", slowTable{pageTime: time.Minute}, true, false},
			{"service away", slowTable{away: true}, true, true},
		} {
			t.Run(name+", "+tc.what, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := tc.table.relay()
					if err := call(t.Context(), r); (err != nil) != tc.fails {
						t.Errorf("error %v", err)
					}
					checkUnreachable(t, r, tc.outOfUse)
				})
			})
		}
	}
}

// TestSmallCallsTellAnOutage keeps the time after which a call goes through a peer.
func TestSmallCallsTellAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := slowTable{pageTime: time.Second}
		r := s.relay()
		if _, err := r.Feed().ReadPage(t.Context(), silltable.Range{Table: "t"}); !errors.Is(err, silltable.ErrUnavailable) {
			t.Errorf("error %v", err)
		}
		checkUnreachable(t, r, true)
	})
}
