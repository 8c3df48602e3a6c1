package sillwatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// view holds the rows and outages that a follower reported.
type view struct {
	mu      sync.Mutex
	rows    map[string]string
	resets  int
	outages []time.Duration
}

func (v *view) reset(rows []silltable.Row, outage time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.resets++
	v.rows = make(map[string]string)
	for _, r := range rows {
		v.rows[r.Key] = string(r.Value)
	}
	v.recordOutage(outage)
}

func (v *view) apply(changes []silltable.Change, outage time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, c := range changes {
		if c.Removed {
			delete(v.rows, c.Row.Key)
		} else {
			v.rows[c.Row.Key] = string(c.Row.Value)
		}
	}
	v.recordOutage(outage)
}

func (v *view) recordOutage(outage time.Duration) {
	if outage > 0 {
		v.outages = append(v.outages, outage)
	}
}

func (v *view) check(t *testing.T, want map[string]string) {
	t.Helper()
	v.mu.Lock()
	defer v.mu.Unlock()
	if fmt.Sprint(v.rows) != fmt.Sprint(want) {
		t.Errorf("view %v, want %v", v.rows, want)
	}
}

func put(t *testing.T, table *sillmemtable.Table, key, value string) {
	t.Helper()
	w := silltable.Write{Key: key, Value: []byte(value), Delete: value == ""}
	if _, err := table.Store().Commit(t.Context(), silltable.Txn{Writes: []silltable.Write{w}}); err != nil {
		t.Fatal(err)
	}
}

// runFollower calls f with a running follower of a table, with fake time.
func runFollower(t *testing.T, partitioned bool, f func(t *testing.T, table *sillmemtable.Table, v *view, unavailable *atomic.Bool, w *Follower)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var unavailable atomic.Bool
		table := &sillmemtable.Table{Fault: func(_ context.Context, call string) error {
			if unavailable.Load() && call != "commit" && call != "commit-answer" {
				return silltable.ErrUnavailable
			}
			return nil
		}}
		put(t, table, "t/p/a", "1")
		v := &view{}
		w := New(Config{
			Feed: table.Feed(), Table: "t", Partitioned: partitioned, Wait: time.Second, ResponseTimeout: time.Second,
			Pause: 10 * time.Millisecond, Reset: v.reset, Apply: v.apply, Log: zap.NewNop(), Now: time.Now,
		})
		group := sillgroup.New(t.Context())
		defer group.Stop()
		group.Go(w.Run)
		time.Sleep(100 * time.Millisecond)
		f(t, table, v, &unavailable, w)
	})
}

func TestFollowsChanges(t *testing.T) {
	for _, partitioned := range []bool{false, true} {
		runFollower(t, partitioned, func(t *testing.T, table *sillmemtable.Table, v *view, _ *atomic.Bool, _ *Follower) {
			v.check(t, map[string]string{"t/p/a": "1"})
			put(t, table, "t/p/a", "2")
			put(t, table, "t/q/b", "3")
			put(t, table, "other/p/c", "4")
			time.Sleep(100 * time.Millisecond)
			v.check(t, map[string]string{"t/p/a": "2", "t/q/b": "3"})
			put(t, table, "t/p/a", "")
			time.Sleep(100 * time.Millisecond)
			v.check(t, map[string]string{"t/q/b": "3"})
			if v.resets != 1 {
				t.Errorf("all rows were read %d times", v.resets)
			}
		})
	}
}

func TestCompactedHistory(t *testing.T) {
	runFollower(t, true, func(t *testing.T, table *sillmemtable.Table, v *view, unavailable *atomic.Bool, _ *Follower) {
		unavailable.Store(true)
		time.Sleep(2 * time.Second)
		put(t, table, "t/p/a", "")
		put(t, table, "t/q/b", "2")
		table.Compact()
		unavailable.Store(false)
		time.Sleep(2 * time.Second)
		v.check(t, map[string]string{"t/q/b": "2"})
		if v.resets != 2 {
			t.Errorf("all rows were read %d times, want 2", v.resets)
		}
	})
}

func TestOutageIsReported(t *testing.T) {
	runFollower(t, false, func(t *testing.T, table *sillmemtable.Table, v *view, unavailable *atomic.Bool, w *Follower) {
		unavailable.Store(true)
		time.Sleep(5 * time.Second)
		if age, read := w.Age(time.Now()); !read || age < 3*time.Second {
			t.Errorf("age %v after 5 s of an outage, want 3 s at least", age)
		}
		put(t, table, "t/p/a", "2")
		unavailable.Store(false)
		time.Sleep(time.Second)
		v.check(t, map[string]string{"t/p/a": "2"})
		if len(v.outages) != 1 || v.outages[0] < 3*time.Second {
			t.Errorf("outages %v, want one of 3 s at least", v.outages)
		}
		if age, _ := w.Age(time.Now()); age > 2*time.Second {
			t.Errorf("age %v after the outage, want 2 s at most", age)
		}
	})
}
