package silljob

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
)

func newRetention(s *Store) *Retention {
	return &Retention{Store: s, Board: NewBoard(), Period: 2 * time.Minute, Log: zap.NewNop()}
}

// TestRetention ends one job, publishes all results of another and leaves a third open.
func TestRetention(t *testing.T) {
	s, table := newStore()
	r := newRetention(s)
	for _, job := range []ID{"ended", "complete", "open"} {
		held := mustAccept(t, s, submission(job, 1), "a")
		var err error
		if job == "complete" {
			held, err = s.Write(t.Context(), job, held, Update{Results: []Result{{Item: "x"}}, Progress: []Progress{{Item: "y", Events: []string{"e"}}}})
		}
		if job == "ended" {
			held, err = s.End(t.Context(), job, "org")
		}
		if err != nil {
			t.Fatal(err)
		}
		r.Board.UpdateIfNewer(job, held)
	}
	now := time.Now()
	for _, tc := range []struct {
		age     time.Duration
		removed []ID
	}{
		{2 * time.Minute, nil},
		{4 * time.Minute, []ID{"ended"}},
		{2 * time.Hour, []ID{"ended", "complete"}},
	} {
		r.deleteExpired(t.Context(), now.Add(tc.age))
		for _, job := range tc.removed {
			if _, err := s.State(t.Context(), job); !errors.Is(err, ErrNoJob) {
				t.Errorf("after %v: job %s: %v", tc.age, job, err)
			}
		}
	}
	if _, err := s.State(t.Context(), "open"); err != nil {
		t.Errorf("an open job was removed: %v", err)
	}
	for _, name := range Tables() {
		parts, err := table.Feed().Partitions(t.Context(), name)
		if err != nil || len(parts) > 1 {
			t.Errorf("table %s still holds %v, %v", name, parts, err)
		}
	}
}

// TestRetentionByPlacement guards against a process that deletes, and so reads, a job whose
// bodies it may not have.
func TestRetentionByPlacement(t *testing.T) {
	s, _ := newStore()
	r := newRetention(s)
	r.Deletes = func(p Placement) bool { return !p.Homes.Restricted() }
	for _, job := range []ID{"free", "home"} {
		sub := submission(job, 1)
		if job == "home" {
			sub.Homes = home
		}
		mustAccept(t, s, sub, "a")
		held, err := s.End(t.Context(), job, "org")
		if err != nil {
			t.Fatal(err)
		}
		r.Board.UpdateIfNewer(job, held)
	}
	r.deleteExpired(t.Context(), time.Now().Add(time.Hour))
	if _, err := s.State(t.Context(), "free"); !errors.Is(err, ErrNoJob) {
		t.Errorf("a job without homes: %v", err)
	}
	if _, err := s.State(t.Context(), "home"); err != nil {
		t.Errorf("a job with homes: %v", err)
	}
}
