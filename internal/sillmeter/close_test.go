package sillmeter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// closing is a table with the meters of some processes, of which each counts one request of
// a window, and a reporter that knows which processes run.
type closing struct {
	table  *sillmemtable.Table
	window Window
	meters map[string]*Meter
	live   []string
	known  bool
	sent   fakeReceiver
}

func newClosing(runs ...string) *closing {
	c := &closing{table: &sillmemtable.Table{}, window: 100, meters: make(map[string]*Meter), live: runs, known: true}
	for _, run := range runs {
		m := newTestMeter(c.table, run)
		m.RecordStarted("one", endOf(c.window-1, length))
		c.meters[run] = m
	}
	return c
}

// closeAt lets a process write its counts some time after the end of the window.
func (c *closing) closeAt(t *testing.T, run string, after time.Duration) {
	t.Helper()
	if !c.meters[run].write(t.Context(), endOf(c.window, length).Add(after)) {
		t.Fatalf("%s did not write", run)
	}
}

// checkReported checks whether the window is reported some time after its end, and with
// which count.
func (c *closing) checkReported(t *testing.T, after time.Duration, want int) {
	t.Helper()
	c.sent.sent = nil
	r := newTestReporter(c.table, &c.sent)
	r.cfg.LiveRuns = func() ([]string, bool) { return c.live, c.known }
	for w := c.window - 8; w < c.window; w++ {
		r.reported[w] = true
	}
	r.reportDue(t.Context(), endOf(c.window, length).Add(after))
	var reports []string
	if want > 0 {
		reports = []string{fmt.Sprint(c.window, Counts{"one": int64(want)})}
	}
	if fmt.Sprint(c.sent.sent) != fmt.Sprint(reports) {
		t.Errorf("reports %v, want %v", c.sent.sent, reports)
	}
}

// TestClosedWindows guards against reports that wait for SettleTime although all counts are
// there, so that an outage of the table that begins meanwhile makes them late, and against
// reports that miss the counts of a process.
func TestClosedWindows(t *testing.T) {
	t.Run("closed by all", func(t *testing.T) {
		c := newClosing("a", "b")
		c.closeAt(t, "a", closeDelay)
		c.closeAt(t, "b", closeDelay)
		c.checkReported(t, closeDelay, 2)
	})
	t.Run("not closed by one", func(t *testing.T) {
		c := newClosing("a", "b")
		c.closeAt(t, "a", closeDelay)
		c.closeAt(t, "b", closeDelay-time.Millisecond)
		c.checkReported(t, 3*time.Second, 0)
		c.checkReported(t, 4*time.Second, 2)
	})
	t.Run("not closed by one that is not alive", func(t *testing.T) {
		c := newClosing("a", "b")
		c.closeAt(t, "a", closeDelay)
		c.closeAt(t, "b", -time.Second)
		c.live = []string{"a"}
		c.checkReported(t, 3*time.Second, 0)
	})
	t.Run("alive, with no counts yet", func(t *testing.T) {
		c := newClosing("a", "b")
		c.closeAt(t, "a", closeDelay)
		c.checkReported(t, 3*time.Second, 0)
	})
	t.Run("view of the processes is old", func(t *testing.T) {
		c := newClosing("a")
		c.closeAt(t, "a", closeDelay)
		c.known = false
		c.checkReported(t, 3*time.Second, 0)
	})
	t.Run("a row that can't be read", func(t *testing.T) {
		c := newClosing("a")
		c.closeAt(t, "a", closeDelay)
		write := silltable.Write{Key: closedPrefix + "odd", Value: []byte("odd")}
		if _, err := c.table.Store().Commit(t.Context(), silltable.Txn{Writes: []silltable.Write{write}}); err != nil {
			t.Fatal(err)
		}
		c.checkReported(t, 3*time.Second, 0)
		c.checkReported(t, 4*time.Second, 1)
	})
}

// TestRunClosesWindows guards against windows that a process closes late: the next outage may
// begin before.
func TestRunClosesWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClosing("a")
		c.window = windowOf(time.Now(), length)
		group := sillgroup.New(t.Context())
		group.Go(c.meters["a"].Run)
		c.meters["a"].RecordStarted("one", time.Now())
		time.Sleep(time.Until(endOf(c.window, length).Add(closeDelay + time.Millisecond)))
		c.checkReported(t, closeDelay, 1)
		group.Stop()
	})
}
