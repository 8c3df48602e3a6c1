package silljob

import (
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestRetention ends one job, lists all of another and leaves a third open.
func TestRetention(t *testing.T) {
	s, table := newStore()
	board := NewBoard()
	r := &Retention{Store: s, Board: board, Period: 2 * time.Minute, Log: zap.NewNop()}
	for _, job := range []ID{"ended", "whole", "open"} {
		held := mustAccept(t, s, submission(job, 1), "a")
		var err error
		if job == "whole" {
			held, err = s.Write(t.Context(), job, held, Update{Results: []Result{{Item: "x"}}, Progress: []Progress{{Item: "y", Events: []string{"e"}}}})
		}
		if job == "ended" {
			held, err = s.End(t.Context(), job, "org")
		}
		if err != nil {
			t.Fatal(err)
		}
		board.UpdateIfNewer(job, held)
	}
	now := time.Now()
	for _, tc := range []struct {
		age  time.Duration
		gone []ID
	}{
		{2 * time.Minute, nil},
		{4 * time.Minute, []ID{"ended"}},
		{2 * time.Hour, []ID{"ended", "whole"}},
	} {
		r.deleteExpired(t.Context(), now.Add(tc.age))
		for _, job := range tc.gone {
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
