package silljob

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestShouldMigrate(t *testing.T) {
	const mean = 40 * time.Millisecond
	for _, tc := range []struct {
		name        string
		events      int
		unitLatency time.Duration
		want        bool
	}{
		{"mean latency", 50, mean, false},
		{"a little slower", 50, 60 * time.Millisecond, false},
		{"three times slower", 50, 120 * time.Millisecond, true},
		{"slower but short", 4, 70 * time.Millisecond, false},
		{"unknown latency", 50, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := shouldMigrate(tc.events, tc.unitLatency, mean); got != tc.want {
				t.Errorf("shouldMigrate = %t, want %t", got, tc.want)
			}
		})
	}
}

// TestItemsMigrateFromSlowEngines makes one of two engines twenty times slower.
func TestItemsMigrateFromSlowEngines(t *testing.T) {
	c := newCluster(t, 2, func(engine int, _ call, _ int) behaviour {
		if engine == 0 {
			return behaviour{Events: 60, Delay: 200 * time.Millisecond, Version: 1}
		}
		return behaviour{Events: 60, Delay: 10 * time.Millisecond, Version: 1}
	})
	a := c.start("a")
	sub := submission("job", 4)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 4), 60)
	if n := c.engines[0].Disconnects(); n == 0 {
		t.Error("no item migrated from the slow engine")
	}
}

// TestItemOutlivesItsEngines guards against an item that is given up because engines
// crash under it: twelve do, one after the other, and its owner is replaced meanwhile.
func TestItemOutlivesItsEngines(t *testing.T) {
	const crashes, events = 12, 20
	var calls atomic.Int32
	c := newCluster(t, 4, func(int, call, int) behaviour {
		b := behaviour{Events: events, Version: 1}
		if calls.Add(1) <= crashes {
			b.BreakAfter = 1
		}
		return b
	})
	a := c.start("a")
	sub := submission("job", 1)
	a.submit(t, sub)
	eventually(t, "half of the engines have crashed", func() bool { return calls.Load() >= crashes/2 })
	c.declareDead("a")
	b := c.start("b")
	checkComplete(t, sub, b.results(t, "job", 1), events)
	if n := calls.Load(); n <= crashes {
		t.Errorf("the item ran %d times, want more than %d", n, crashes)
	}
}

// TestMigratedItemReturnsToItsOnlyEngine guards against an item that is never sent again:
// the engine to which it migrated is lost for good, and only the one that it left remains.
func TestMigratedItemReturnsToItsOnlyEngine(t *testing.T) {
	var recovered atomic.Bool
	c := newCluster(t, 2, func(engine int, _ call, _ int) behaviour {
		delay := 20 * time.Millisecond
		if engine == 0 && !recovered.Load() {
			delay = 200 * time.Millisecond
		}
		return behaviour{Events: 60, Delay: delay, Version: 1}
	})
	a := c.start("a")
	sub := submission("job", 4)
	a.submit(t, sub)
	eventually(t, "an item migrates", func() bool { return c.engines[0].Disconnects() > 0 })
	recovered.Store(true)
	a.directory.Remove("engine-1")
	c.engines[1].Close()
	checkComplete(t, sub, a.results(t, "job", 4), 60)
}

// TestMigratedItemHoldsNoOthersUp guards against items that wait although an engine has
// free slots: the first waiting item has migrated from that engine.
func TestMigratedItemHoldsNoOthersUp(t *testing.T) {
	c := newCluster(t, 2, completeStream)
	a := c.start("a")
	var grants []silltarget.Grant
	for range 4 {
		g, ok := a.directory.Pick(time.Now(), silltarget.Query{Pool: "p", FreeOnly: true})
		if !ok {
			t.Fatal("no free slot")
		}
		grants = append(grants, g)
	}
	sub := submission("job", 2)
	a.submit(t, sub)
	a.runner.mu.Lock()
	a.runner.jobs["job"].items[0].avoid = map[sillid.TargetID]bool{"engine-0": true}
	a.runner.mu.Unlock()
	release := func(engine sillid.TargetID) {
		for _, g := range grants {
			if g.ID == engine {
				a.directory.Release(time.Now(), g, silltarget.Answered)
			}
		}
	}
	release("engine-0")
	if first := a.results(t, "job", 1)[0]; first.Item != sub.Items[1].ID {
		t.Errorf("item %s is done first, want the one that may run at the free engine", first.Item)
	}
	release("engine-1")
	checkComplete(t, sub, a.results(t, "job", 2), testEvents)
}
