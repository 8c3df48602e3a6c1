package silljob

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
)

var errNoAnswer = errors.New("no answer")

func tableFails() bool { return true }

// probeCluster returns a cluster in which the owner "a" of a job counts as dead by its row. The
// job takes twelve times the delay of an event.
func probeCluster(t *testing.T, delay time.Duration, probe func(context.Context, GatewayRun) error) (c *cluster, sub *Submission, a, b *node) {
	t.Helper()
	c = newCluster(t, 1, func(int, call, int) behaviour {
		return behaviour{Events: testEvents, Delay: delay, Version: 1}
	})
	c.probeOwner = probe
	a = c.start("a")
	sub = submission("job", 4)
	a.submit(t, sub)
	a.results(t, "job", 1)
	c.declareDead("a")
	return c, sub, a, c.start("b")
}

func (c *cluster) checkOwner(want GatewayRun) {
	c.t.Helper()
	held, err := c.store.State(c.t.Context(), "job")
	if err != nil || held.Owner != want {
		c.t.Errorf("owner %q, %v, want %q", held.Owner, err, want)
	}
}

// TestAnsweringOwnerKeepsItsJob guards against an outage of the table in which running owners
// can't renew their rows and lose their jobs, with all that they have generated.
func TestAnsweringOwnerKeepsItsJob(t *testing.T) {
	c, sub, a, _ := probeCluster(t, 50*time.Millisecond, func(_ context.Context, run GatewayRun) error {
		if run != "a" {
			return errNoAnswer
		}
		return nil
	})
	checkComplete(t, sub, a.results(t, "job", 4), testEvents)
	c.checkOwner("a")
	if n := len(c.engines[0].Calls()); n != 4 {
		t.Errorf("the engine got %d requests for 4 items, want 4", n)
	}
}

// TestSilentOwnerIsReplaced guards against jobs that stay with an owner that is dead, frozen or
// out of reach.
func TestSilentOwnerIsReplaced(t *testing.T) {
	for name, probe := range map[string]func(context.Context, GatewayRun) error{
		"refuses": func(context.Context, GatewayRun) error { return errNoAnswer },
		"hangs": func(ctx context.Context, _ GatewayRun) error {
			<-ctx.Done()
			return ctx.Err()
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, sub, _, b := probeCluster(t, 200*time.Millisecond, probe)
			checkComplete(t, sub, b.results(t, "job", 4), testEvents)
			c.checkOwner("b")
		})
	}
}

// TestOwnerThatFallsSilentIsReplaced guards against a first answer that counts for ever.
func TestOwnerThatFallsSilentIsReplaced(t *testing.T) {
	var asked atomic.Int32
	c, sub, _, b := probeCluster(t, 300*time.Millisecond, func(context.Context, GatewayRun) error {
		if asked.Add(1) > 1 {
			return errNoAnswer
		}
		return nil
	})
	checkComplete(t, sub, b.results(t, "job", 4), testEvents)
	c.checkOwner("b")
}

// TestOrphanTimeIsBounded guards against an owner that answers and can never write again.
func TestOrphanTimeIsBounded(t *testing.T) {
	r := NewRunner(RunnerConfig{Metrics: NewMetrics(nil), Log: zap.NewNop(), TableFails: tableFails, ProbeOwner: func(context.Context, GatewayRun) error { return nil }})
	defer r.group.Stop()
	since := time.Now()
	r.probes["a"] = &ownerProbe{startedAt: since.Add(maxOrphanTime), done: true, answered: true}
	o := &orphan{owner: "a", since: since}
	if !r.mustWait(since.Add(maxOrphanTime-time.Millisecond), "job", o) {
		t.Error("an owner that answers loses its job too early")
	}
	if r.mustWait(since.Add(maxOrphanTime), "job", o) {
		t.Error("an owner that can't list results keeps its job for ever")
	}
}

// TestOverdueOwnerIsAskedInTime guards against a takeover from a dead owner that waits for the
// answer: its successor has rank 1 as long as the owner counts as alive.
func TestOverdueOwnerIsAskedInTime(t *testing.T) {
	for rank, want := range map[int]bool{0: true, 1: true, 2: false} {
		asked := make(chan struct{}, 1)
		r := NewRunner(RunnerConfig{
			Metrics: NewMetrics(nil), Log: zap.NewNop(), TableFails: tableFails, Overdue: func(GatewayRun) bool { return true },
			TakeoverRank: func(Placement) (int, bool) { return rank, true },
			ProbeOwner:   func(context.Context, GatewayRun) error { asked <- struct{}{}; return errNoAnswer },
		})
		r.prepareTakeover(time.Now(), VersionedState{State: State{Owner: "a"}})
		r.group.Wait()
		if got := len(asked) > 0; got != want {
			t.Errorf("the owner is asked by rank %d: %t, want %t", rank, got, want)
		}
		if got := len(r.probeDone) > 0; got != want {
			t.Errorf("rank %d: the end of the probe is told: %t, want %t", rank, got, want)
		}
	}
}

// TestOrphanTimeBelongsToOneOwner guards against an owner that loses its job early, since the
// owner before it was not alive for long.
func TestOrphanTimeBelongsToOneOwner(t *testing.T) {
	r := NewRunner(RunnerConfig{
		Metrics: NewMetrics(nil), Log: zap.NewNop(), Board: NewBoard(), TableFails: tableFails,
		TakeoverRank: func(Placement) (int, bool) { return 0, true },
		ProbeOwner:   func(context.Context, GatewayRun) error { return nil },
	})
	defer r.group.Stop()
	now := time.Now()
	r.takeOver(now, "job", VersionedState{State: State{Owner: "a"}})
	later := now.Add(maxOrphanTime)
	r.takeOver(later, "job", VersionedState{State: State{Owner: "b"}})
	if o := r.orphans["job"]; o.owner != "b" || !o.since.Equal(later) {
		t.Errorf("the job is an orphan of %s since %v, want of b since %v", o.owner, o.since, later)
	}
	r.forgetOrphans(nil)
	if len(r.orphans) > 0 {
		t.Error("jobs that ended are kept as orphans")
	}
}

// TestOwnerCutOffFromTheTableIsReplaced guards against jobs that wait for an owner which answers,
// but can't reach the table that others reach.
func TestOwnerCutOffFromTheTableIsReplaced(t *testing.T) {
	r := NewRunner(RunnerConfig{
		Metrics: NewMetrics(nil), Log: zap.NewNop(), TableFails: func() bool { return false },
		ProbeOwner: func(context.Context, GatewayRun) error { return nil },
	})
	now := time.Now()
	r.probes["a"] = &ownerProbe{startedAt: now, done: true, answered: true}
	if r.mustWait(now, "job", &orphan{owner: "a", since: now}) {
		t.Error("the job waits for an owner that can't reach the table")
	}
}
