package silljob

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

type (
	row    = silltable.Row
	change = silltable.Change
)

const testEvents = 6

func completeStream(int, call, int) behaviour {
	return behaviour{Events: testEvents, Delay: time.Millisecond, Version: 1}
}

func TestJobRuns(t *testing.T) {
	c := newCluster(t, 2, completeStream)
	a, b := c.start("a"), c.start("b")
	sub := submission("job", 10)
	a.submit(t, sub)
	results := b.results(t, "job", 10)
	checkComplete(t, sub, results, testEvents)
	if again := a.results(t, "job", 10); !slices.EqualFunc(results, again, sameResult) {
		t.Error("two gateways return different results")
	}
	for _, r := range results {
		if !slices.Equal(r.Versions, []sillid.WeightVersion{1}) {
			t.Errorf("versions %v", r.Versions)
		}
	}
	page, err := b.reader.Results(t.Context(), "job", "org", 7, 0)
	if err != nil || page.Total != 10 || len(page.Results) != 3 || page.Results[0].Item != results[7].Item {
		t.Errorf("page from position 7: %+v, %v", page, err)
	}
}

func sameResult(a, b Result) bool {
	return a.Item == b.Item && a.Text == b.Text && a.Score == b.Score && slices.Equal(a.Versions, b.Versions)
}

func TestItemReachesEngineUnchanged(t *testing.T) {
	c := newCluster(t, 1, completeStream)
	a := c.start("a")
	sub := submission("job", 1)
	a.submit(t, sub)
	a.results(t, "job", 1)
	got := c.engines[0].Calls()[0]
	if got.Request != "job-item-00" || got.Organisation != "org" || got.Path != "/generate/1" ||
		got.Body != "body of job-item-00" || got.Header.Get("Other") != "x" {
		t.Errorf("the engine received %+v", got)
	}
}

// TestVersionsOfAGeneration changes the weights in the middle of each generation.
func TestVersionsOfAGeneration(t *testing.T) {
	c := newCluster(t, 1, func(int, call, int) behaviour {
		return behaviour{Events: testEvents, Version: 1, NextVersion: 2, NextVersionAt: 3}
	})
	a := c.start("a")
	a.submit(t, submission("job", 2))
	for _, r := range a.results(t, "job", 2) {
		if !slices.Equal(r.Versions, []sillid.WeightVersion{1, 2}) {
			t.Errorf("versions %v, want 1 and 2", r.Versions)
		}
	}
}

// TestEventsOfOldWeightsDiscarded registers an engine with a newer weight version than
// the one it first generates with.
func TestEventsOfOldWeightsDiscarded(t *testing.T) {
	var asked atomic.Int32
	c := newCluster(t, 1, func(int, call, int) behaviour {
		version := sillid.WeightVersion(1)
		if asked.Add(1) > 3 {
			version = 2
		}
		return behaviour{Events: testEvents, Version: version}
	})
	a := c.start("a")
	a.directory.Apply(c.engines[0].Entry("p", 2, versions{testModel: 2}))
	sub := submission("job", 1)
	sub.MinVersion = 2
	a.submit(t, sub)
	for _, r := range a.results(t, "job", 1) {
		if !slices.Equal(r.Versions, []sillid.WeightVersion{2}) {
			t.Errorf("versions %v, want 2 alone", r.Versions)
		}
	}
}

func TestSingleVersion(t *testing.T) {
	var asked atomic.Int32
	c := newCluster(t, 1, func(int, call, int) behaviour {
		if asked.Add(1) == 1 {
			return behaviour{Events: testEvents, Version: 1, NextVersion: 2, NextVersionAt: 3}
		}
		return behaviour{Events: testEvents, Version: 2}
	})
	a := c.start("a")
	sub := submission("job", 1)
	sub.SingleVersion = true
	a.submit(t, sub)
	results := a.results(t, "job", 1)
	checkComplete(t, sub, results, testEvents)
	if !slices.Equal(results[0].Versions, []sillid.WeightVersion{2}) {
		t.Errorf("versions %v, want 2 alone", results[0].Versions)
	}
}

func TestItemsFailPermanently(t *testing.T) {
	for _, tc := range []struct {
		name   string
		status int
		calls  int
	}{
		{"impossible", http.StatusUnprocessableEntity, 1},
		{"failed at each run", http.StatusInternalServerError, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 1, func(int, call, int) behaviour { return behaviour{Status: tc.status} })
			a := c.start("a")
			a.submit(t, submission("job", 1))
			if r := a.results(t, "job", 1)[0]; r.Completed {
				t.Errorf("result %+v", r)
			}
			if n := len(c.engines[0].Calls()); n != tc.calls {
				t.Errorf("%d attempts, want %d", n, tc.calls)
			}
		})
	}
}

// TestStalledEngine makes one of two engines stop in the middle of every stream.
func TestStalledEngine(t *testing.T) {
	c := newCluster(t, 2, func(engine int, _ call, _ int) behaviour {
		if engine == 0 {
			return behaviour{NoResponse: true}
		}
		return behaviour{Events: testEvents, Version: 1}
	})
	a := c.start("a")
	sub := submission("job", 2)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 2), testEvents)
}

// TestQueuedItemIsNotCut fills an engine that lets an item wait for longer than the
// timeout of its first event while it generates another one: a full but sound engine.
func TestQueuedItemIsNotCut(t *testing.T) {
	const queueTime = firstEventTimeout + 1500*time.Millisecond
	plan := func(engine int, ca call, _ int) behaviour {
		if engine == 0 && strings.HasSuffix(string(ca.Request), "1") {
			return behaviour{Events: testEvents, FirstDelay: queueTime, Version: 1}
		}
		return behaviour{Events: 20, Delay: 200 * time.Millisecond, Version: 1}
	}
	t.Run("no other engine", func(t *testing.T) {
		c := newCluster(t, 1, plan)
		a := c.start("a")
		a.submit(t, submission("job", 2))
		a.results(t, "job", 2)
		if n := len(c.engines[0].Calls()); n != 2 {
			t.Errorf("the engine got %d calls for 2 items", n)
		}
	})
	t.Run("another engine has a free slot", func(t *testing.T) {
		c := newCluster(t, 2, plan)
		a := c.start("a")
		a.submit(t, submission("job", 2))
		a.results(t, "job", 2)
		if n := c.engines[0].Disconnects(); n > 1 {
			t.Errorf("%d attempts were cut, want 1 at most", n)
		}
	})
}

// TestDrippingEngineIsLeft guards against an engine that sends bytes, but no event.
func TestDrippingEngineIsLeft(t *testing.T) {
	c := newCluster(t, 2, func(engine int, _ call, _ int) behaviour {
		if engine == 0 {
			return behaviour{Dripping: true}
		}
		return behaviour{Events: testEvents, Version: 1}
	})
	a := c.start("a")
	sub := submission("job", 2)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 2), testEvents)
}

func TestEndStopsItems(t *testing.T) {
	c := newCluster(t, 1, func(int, call, int) behaviour {
		return behaviour{Events: 1000, Delay: 10 * time.Millisecond, Version: 1}
	})
	a, b := c.start("a"), c.start("b")
	a.submit(t, submission("job", 4))
	eventually(t, "items run", func() bool { return len(c.engines[0].Calls()) == 2 })
	for range 2 {
		if err := b.reader.End(t.Context(), "job", "org"); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the engine is free", func() bool { return c.engines[0].Disconnects() == 2 })
	if n := len(c.engines[0].Calls()); n != 2 {
		t.Errorf("%d items ran, want 2", n)
	}
	if _, err := b.reader.Body(t.Context(), "job", "org", "job-item-00"); !errors.Is(err, ErrNoItem) {
		t.Errorf("body of an ended job: %v", err)
	}
}

// TestItemsResubmittedInLaterJob ends a job while a generation is in progress and
// submits its item again in the next job, which must resume the generation.
func TestItemsResubmittedInLaterJob(t *testing.T) {
	c := newCluster(t, 1, func(int, call, int) behaviour {
		return behaviour{Events: 30, Delay: 10 * time.Millisecond, Version: 1}
	})
	a := c.start("a")
	first := submission("first", 1)
	a.submit(t, first)
	eventually(t, "the generation is in progress", func() bool {
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		j := a.runner.jobs["first"]
		return j != nil && len(j.inProgress(5)) == 1
	})
	if err := a.reader.End(t.Context(), "first", "org"); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the job is closed", func() bool { return c.engines[0].Disconnects() == 1 })
	second := submission("second", 1)
	second.Items[0] = first.Items[0]
	a.submit(t, second)
	checkComplete(t, second, a.results(t, "second", 1), 30)
	calls := c.engines[0].Calls()
	if last := calls[len(calls)-1]; last.After < 4 {
		t.Errorf("the generation resumes after event %d, want 4 or later", last.After)
	}
}

// TestLostTableResponses loses the response to every second write after the write took
// effect.
func TestLostTableResponses(t *testing.T) {
	c := newCluster(t, 2, func(int, call, int) behaviour {
		return behaviour{Events: testEvents, Delay: 10 * time.Millisecond, Version: 1}
	})
	var writes atomic.Int32
	c.table.Fault = func(_ context.Context, name string) error {
		if name == "commit-answer" && writes.Add(1)%2 == 0 {
			return silltable.ErrUnknown
		}
		return nil
	}
	a := c.start("a")
	sub := submission("job", 20)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 20), testEvents)
}

// TestTableUnavailable refuses every write for a while. No result may be lost, and
// reads must not return results that are not stored.
func TestTableUnavailable(t *testing.T) {
	c := newCluster(t, 2, completeStream)
	var unavailable atomic.Bool
	c.table.Fault = func(_ context.Context, name string) error {
		if unavailable.Load() && name == "commit" {
			return silltable.ErrUnavailable
		}
		return nil
	}
	a := c.start("a")
	sub := submission("job", 8)
	a.submit(t, sub)
	unavailable.Store(true)
	time.Sleep(300 * time.Millisecond)
	held, err := c.store.State(t.Context(), "job")
	if err != nil {
		t.Fatal(err)
	}
	if page, err := a.reader.Results(t.Context(), "job", "org", held.Published, 0); err != nil || len(page.Results) != 0 {
		t.Errorf("read %d results that are not stored, %v", len(page.Results), err)
	}
	unavailable.Store(false)
	checkComplete(t, sub, a.results(t, "job", 8), testEvents)
}

func TestByUrgency(t *testing.T) {
	job := func(submitted int64) *ownedJob { return &ownedJob{sub: &Submission{SubmittedMS: submitted}} }
	old, young := job(1), job(2)
	item := func(j *ownedJob, id ItemID, tokens, events int) *itemRun {
		return &itemRun{job: j, item: &Item{ID: id, ExpectedTokens: tokens}, events: make([]string, events)}
	}
	list := []*itemRun{
		item(young, "young-long", 900, 0), item(old, "old-short", 10, 0), item(old, "old-long", 800, 0),
		item(old, "old-begun", 5, 3), item(young, "young-begun", 1, 1),
	}
	slices.SortFunc(list, byUrgency)
	var got []ItemID
	for _, it := range list {
		got = append(got, it.item.ID)
	}
	want := []ItemID{"old-begun", "old-long", "old-short", "young-begun", "young-long"}
	if !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

// TestEndlessGeneration guards against an engine that sends events without end: the item
// is generated again.
func TestEndlessGeneration(t *testing.T) {
	c := newCluster(t, 1, func(_ int, ca call, n int) behaviour {
		if n == 1 {
			return behaviour{Events: 1 << 30, Version: 1}
		}
		return completeStream(0, ca, n)
	})
	a := c.start("a")
	sub := submission("job", 1)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 1), testEvents)
}

// TestRouteChangesPool assigns another pool to the route of a job while its items wait.
func TestRouteChangesPool(t *testing.T) {
	c := newCluster(t, 2, completeStream)
	a := c.start("a")
	a.directory.Remove("engine-0")
	a.directory.Remove("engine-1")
	a.directory.Apply(c.engines[1].Entry("q", 2, versions{testModel: 1}))
	sub := submission("job", 3)
	a.submit(t, sub)
	c.route("q")
	checkComplete(t, sub, a.results(t, "job", 3), testEvents)
}

func TestRouteIsRemoved(t *testing.T) {
	c := newCluster(t, 1, completeStream)
	a := c.start("a")
	a.directory.Remove("engine-0")
	a.submit(t, submission("job", 3))
	c.route("")
	for _, r := range a.results(t, "job", 3) {
		if r.Completed {
			t.Errorf("result %+v of a removed route", r)
		}
	}
}

// TestOtherFailuresDoNotCount makes a target respond with statuses that are not the
// item's fault more often than an item may fail.
func TestOtherFailuresDoNotCount(t *testing.T) {
	c := newCluster(t, 1, func(_ int, ca call, n int) behaviour {
		if n <= 4 {
			return behaviour{Status: http.StatusGatewayTimeout}
		}
		return completeStream(0, ca, n)
	})
	a := c.start("a")
	sub := submission("job", 1)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 1), testEvents)
}

// TestSingleVersionUnavailable breaks a stream after two events of version 1, in a job
// that requires one version per generation. The generation must restart if no engine
// can resume it soon.
func TestSingleVersionUnavailable(t *testing.T) {
	anew := func(int) behaviour { return behaviour{Events: testEvents, Version: 2} }
	run := func(t *testing.T, engines int, setUp, afterCut func(c *cluster, n *node), later func(engine int) behaviour) {
		var c *cluster
		var a *node
		cut := false
		c = newCluster(t, engines, func(engine int, _ call, _ int) behaviour {
			if !cut {
				cut = true
				afterCut(c, a)
				return behaviour{Events: testEvents, BreakAfter: 2, Version: 1}
			}
			return later(engine)
		})
		a = c.start("a")
		setUp(c, a)
		sub := submission("job", 1)
		sub.SingleVersion = true
		a.submit(t, sub)
		results := a.results(t, "job", 1)
		checkComplete(t, sub, results, testEvents)
		if !slices.Equal(results[0].Versions, []sillid.WeightVersion{2}) {
			t.Errorf("versions %v, want 2 alone", results[0].Versions)
		}
	}
	register := func(c *cluster, n *node, engine int, state silltarget.State, version sillid.WeightVersion) {
		e := c.engines[engine].Entry("p", 2, versions{testModel: version})
		e.State = state
		n.directory.Apply(e)
	}
	// occupySlot occupies a slot of an engine with version 1 until the test ends.
	occupySlot := func(n *node) {
		n.directory.Pick(time.Now(), silltarget.Query{Pool: "p", Model: testModel, ExactVersion: 1})
	}
	t.Run("no engine has the version any more", func(t *testing.T) {
		run(t, 1, func(*cluster, *node) {}, func(c *cluster, n *node) { register(c, n, 0, silltarget.Ready, 2) }, anew)
	})
	t.Run("the engine with the version stays full", func(t *testing.T) {
		run(t, 2, func(c *cluster, n *node) {
			register(c, n, 1, silltarget.Draining, 2)
			occupySlot(n)
		}, func(c *cluster, n *node) {
			occupySlot(n)
			register(c, n, 1, silltarget.Ready, 2)
		}, anew)
	})
	t.Run("the engine with the version rejects it", func(t *testing.T) {
		run(t, 2, func(c *cluster, n *node) {
			register(c, n, 1, silltarget.Draining, 2)
		}, func(c *cluster, n *node) {
			register(c, n, 1, silltarget.Ready, 2)
		}, func(engine int) behaviour {
			if engine == 0 {
				return behaviour{Status: http.StatusServiceUnavailable, NotRun: true}
			}
			return anew(engine)
		})
	})
}
