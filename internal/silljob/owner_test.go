package silljob

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// TestOwnerIsReplaced declares the owner dead while it keeps running. Its successor
// must finish the job, and no write of the old owner may take effect.
func TestOwnerIsReplaced(t *testing.T) {
	c := newCluster(t, 2, func(int, call, int) behaviour {
		return behaviour{Events: testEvents, Delay: 20 * time.Millisecond, Version: 1}
	})
	a := c.start("a")
	sub := submission("job", 12)
	a.submit(t, sub)
	a.results(t, "job", 2)
	c.declareDead("a")
	b := c.start("b")
	results := b.results(t, "job", 12)
	checkComplete(t, sub, results, testEvents)
	if again := a.results(t, "job", 12); !slices.EqualFunc(results, again, sameResult) {
		t.Error("the old owner's gateway returns other results")
	}
	held, err := c.store.State(t.Context(), "job")
	if err != nil || held.Owner != "b" || held.Published != 12 {
		t.Errorf("state %+v, %v", held, err)
	}
}

// TestSuccessorResumesGenerations stops the owner while generations are in progress.
func TestSuccessorResumesGenerations(t *testing.T) {
	c := newCluster(t, 1, func(int, call, int) behaviour {
		return behaviour{Events: 40, Delay: 15 * time.Millisecond, Version: 1}
	})
	a := c.start("a")
	sub := submission("job", 2)
	a.submit(t, sub)
	eventually(t, "generations are in progress", func() bool {
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		j := a.runner.jobs["job"]
		return j != nil && countEvents(j.inProgress(5)) >= 10
	})
	a.group.Cancel()
	b := c.start("b")
	checkComplete(t, sub, b.results(t, "job", 2), 40)
	resumed := 0
	for _, ca := range c.engines[0].Calls() {
		if ca.After >= 4 {
			resumed++
		}
	}
	if resumed != 2 {
		t.Errorf("%d of 2 generations were resumed", resumed)
	}
}

// holdWrite makes the table hold the n-th transaction from now on until its caller gives
// it up, and returns a channel that is closed when it holds it. Others pass.
func (c *cluster) holdWrite(n int32) <-chan struct{} {
	var writes atomic.Int32
	held := make(chan struct{})
	c.table.Fault = func(ctx context.Context, name string) error {
		if name == "commit" && writes.Add(1) == n {
			close(held)
			<-ctx.Done()
			return silltable.ErrUnavailable
		}
		return nil
	}
	return held
}

// TestStopListsCompleteResults guards against a stop that drops results which are complete
// and not listed yet.
func TestStopListsCompleteResults(t *testing.T) {
	c := newCluster(t, 1, completeStream)
	// The first transaction accepts the job, the second one lists results.
	held := c.holdWrite(2)
	a := c.start("a")
	sub := submission("job", 4)
	a.submit(t, sub)
	<-held
	eventually(t, "all items are complete", func() bool {
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		j := a.runner.jobs["job"]
		return j != nil && len(j.pending) == 4
	})
	a.group.Stop()
	b := c.start("b")
	checkComplete(t, sub, b.results(t, "job", 4), testEvents)
	if n := len(c.engines[0].Calls()); n != 4 {
		t.Errorf("the engine got %d requests for 4 items, want 4", n)
	}
	if n := len(c.scorer.Calls()); n != 4 {
		t.Errorf("the scorer got %d requests for 4 items, want 4", n)
	}
}

// TestStopOutlastsRefusedWrites guards against a stop that keeps its jobs, and loses what
// is generated, after the table has refused its writes for a moment.
func TestStopOutlastsRefusedWrites(t *testing.T) {
	const refusedWrites = 8
	c := newCluster(t, 1, func(int, call, int) behaviour {
		return behaviour{Events: 400, Delay: 15 * time.Millisecond, Version: 1}
	})
	var left atomic.Int32
	c.table.Fault = func(_ context.Context, name string) error {
		if name == "commit" && left.Add(-1) >= 0 {
			return silltable.ErrUnavailable
		}
		return nil
	}
	a := c.start("a")
	sub := submission("job", 2)
	a.submit(t, sub)
	eventually(t, "generations are in progress", func() bool {
		a.runner.mu.Lock()
		defer a.runner.mu.Unlock()
		j := a.runner.jobs["job"]
		return j != nil && countEvents(j.inProgress(5)) >= 10
	})
	left.Store(refusedWrites)
	a.group.Stop()
	held, err := c.store.State(t.Context(), "job")
	if err != nil || held.Owner != "" || !held.HasProgress {
		t.Errorf("after the stop the job has the state %+v, %v; want no owner and saved progress", held, err)
	}
}

// TestStoppingOwnerPassesNewJobsOn guards against jobs that get an owner which has just
// stopped, and then wait until it counts as dead.
func TestStoppingOwnerPassesNewJobsOn(t *testing.T) {
	for _, tc := range []struct {
		name string
		// assign makes a job that the stopping gateway a owns.
		assign func(t *testing.T, a, b *node, sub *Submission)
	}{
		{"submitted to it", func(t *testing.T, a, _ *node, sub *Submission) { a.submit(t, sub) }},
		{"submitted to another", func(t *testing.T, _, b *node, sub *Submission) {
			b.runner.cfg.Owner = func(Placement) GatewayRun { return "a" }
			b.submit(t, sub)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, completeStream)
			c.handover = 5 * time.Second
			a, b := c.start("a"), c.start("b")
			a.group.Cancel()
			eventually(t, "the gateway is stopping", func() bool {
				a.runner.mu.Lock()
				defer a.runner.mu.Unlock()
				return a.runner.stopping
			})
			sub := submission("job", 2)
			tc.assign(t, a, b, sub)
			checkComplete(t, sub, b.results(t, "job", 2), testEvents)
		})
	}
}

// TestLostOwnersProgressIsSaved declares the owner dead once it has saved progress. Its
// successor must resume from there.
func TestLostOwnersProgressIsSaved(t *testing.T) {
	c := newCluster(t, 1, func(int, call, int) behaviour {
		return behaviour{Events: 120, Delay: 15 * time.Millisecond, Version: 1}
	})
	a := c.start("a")
	sub := submission("job", 1)
	a.submit(t, sub)
	eventually(t, "progress is saved", func() bool {
		held, err := c.store.State(t.Context(), "job")
		return err == nil && held.HasProgress
	})
	c.declareDead("a")
	b := c.start("b")
	checkComplete(t, sub, b.results(t, "job", 1), 120)
	calls := c.engines[0].Calls()
	if last := calls[len(calls)-1]; last.After < minSavedEvents-1 {
		t.Errorf("the successor resumes after event %d", last.After)
	}
}
