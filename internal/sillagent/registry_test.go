package sillagent

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// clock is a time that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

func newTestRegistry() (*registry, *clock) {
	c := &clock{at: time.Unix(1_800_000_000, 0)}
	return newRegistry(c.now), c
}

func newTestRun(request sillid.RequestID, n int, idempotent bool) *run {
	attempt := sillid.NewAttemptID(request, n)
	return &run{
		key:    runKey{request: request, attempt: attempt},
		req:    &sillwire.Run{RequestID: request, Attempt: attempt, Idempotent: idempotent},
		answer: newAnswer(),
		cancel: func(error) {},
	}
}

// serving is the state of a target that takes work.
func serving() bool { return false }

func checkAdded(t *testing.T, r *registry, n *run) {
	t.Helper()
	if p := r.add(n, serving); p != nil {
		t.Fatalf("add: %v", p)
	}
}

func checkRefused(t *testing.T, p *sillproblem.Problem, kind sillproblem.Kind, outcome sillproblem.Outcome) {
	t.Helper()
	if p == nil || p.Kind != kind || p.Outcome != outcome {
		t.Fatalf("problem %v, want %s with outcome %s", p, kind, outcome)
	}
}

func TestRegistryRunsAtMostOnce(t *testing.T) {
	t.Run("a second attempt after the start", func(t *testing.T) {
		r, _ := newTestRegistry()
		first := newTestRun("r", 1, false)
		checkAdded(t, r, first)
		r.start(first)
		checkRefused(t, r.add(newTestRun("r", 2, false), serving), sillproblem.Duplicate, sillproblem.OutcomeUnknown)
	})
	t.Run("a second attempt long after the end", func(t *testing.T) {
		r, c := newTestRegistry()
		first := newTestRun("r", 1, false)
		checkAdded(t, r, first)
		r.start(first)
		r.end(first)
		c.at = c.at.Add(2 * keepEnded)
		checkRefused(t, r.add(newTestRun("r", 2, false), serving), sillproblem.Duplicate, sillproblem.OutcomeUnknown)
	})
	t.Run("a second attempt before the start", func(t *testing.T) {
		r, _ := newTestRegistry()
		checkAdded(t, r, newTestRun("r", 1, false))
		checkAdded(t, r, newTestRun("r", 2, false))
	})
	t.Run("an idempotent request again", func(t *testing.T) {
		r, _ := newTestRegistry()
		first := newTestRun("r", 1, true)
		checkAdded(t, r, first)
		r.start(first)
		checkAdded(t, r, newTestRun("r", 2, true))
	})
}

func TestRegistryTakesNothingWhileDraining(t *testing.T) {
	r, _ := newTestRegistry()
	draining := func() bool { return true }
	checkRefused(t, r.add(newTestRun("r", 1, true), draining), sillproblem.Draining, sillproblem.NotRun)
}

func TestRegistryKeepsItsWord(t *testing.T) {
	r, c := newTestRegistry()
	late := newTestRun("r", 1, false)
	if _, ok := r.attach(late.key); ok {
		t.Fatal("attach found a run that never came")
	}
	c.at = c.at.Add(time.Minute)
	checkRefused(t, r.add(late, serving), sillproblem.ConnectionSilent, sillproblem.NotRun)
}

func TestRegistryFindsAbandonedRuns(t *testing.T) {
	for _, tc := range []struct {
		name                string
		idempotent, started bool
		want                int
	}{
		{"waiting", false, false, 1},
		{"started and idempotent", true, true, 1},
		{"started and not idempotent", false, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r, c := newTestRegistry()
			n := newTestRun("r", 1, tc.idempotent)
			checkAdded(t, r, n)
			if tc.started {
				r.start(n)
			}
			r.detach(n)
			c.at = c.at.Add(time.Second)
			if got := len(r.abandoned(c.at)); got != tc.want {
				t.Errorf("%d abandoned runs, want %d", got, tc.want)
			}
			if _, ok := r.attach(n.key); !ok {
				t.Fatal("attach did not find the run")
			}
			if got := len(r.abandoned(c.at)); got != 0 {
				t.Errorf("%d abandoned runs with a reader, want 0", got)
			}
		})
	}
}

func TestHeldAnswersAreSettledOnce(t *testing.T) {
	settled := 0
	settle := func() { settled++ }
	check := func(t *testing.T, want int) {
		t.Helper()
		if settled != want {
			t.Fatalf("settled %d times, want %d", settled, want)
		}
	}
	t.Run("a reader and live gateways", func(t *testing.T) {
		r, _ := newTestRegistry()
		n := newTestRun("r", 1, true)
		checkAdded(t, r, n)
		if r.hold(n, true, settle) {
			t.Error("held although a gateway reads")
		}
	})
	t.Run("no reader until an attach", func(t *testing.T) {
		settled = 0
		r, _ := newTestRegistry()
		n := newTestRun("r", 1, true)
		checkAdded(t, r, n)
		r.detach(n)
		if !r.hold(n, true, settle) {
			t.Fatal("not held although nobody reads")
		}
		r.settleRead()
		check(t, 0)
		r.attach(n.key)
		r.attach(n.key)
		check(t, 1)
	})
	t.Run("a reader of which nothing is heard", func(t *testing.T) {
		settled = 0
		r, _ := newTestRegistry()
		n := newTestRun("r", 1, true)
		checkAdded(t, r, n)
		if !r.hold(n, false, settle) {
			t.Fatal("not held although no gateway is known to be alive")
		}
		r.settleRead()
		r.settleRead()
		check(t, 1)
	})
}

func TestGatewaysAlive(t *testing.T) {
	c := &clock{at: time.Unix(1_800_000_000, 0)}
	ctl := &control{agent: &Agent{cfg: Config{Now: c.now}}}
	check := func(t *testing.T, what string, want bool) {
		t.Helper()
		if got := ctl.gatewaysAlive(); got != want {
			t.Errorf("%s: alive %t, want %t", what, got, want)
		}
	}
	check(t, "before the first heartbeat", false)
	ctl.pinged()
	check(t, "after the first heartbeat", true)
	c.at = c.at.Add(2 * sillwire.SilenceLimit)
	check(t, "in silence", false)
	ctl.pinged()
	check(t, "right after silence", false)
	c.at = c.at.Add(sillwire.HeartbeatInterval + time.Millisecond)
	ctl.pinged()
	check(t, "one interval after silence", true)
}

// TestSamplesAreNoSuspects guards against samples of rollouts, which are owed, being
// taken for the cause of a crash.
func TestSamplesAreNoSuspects(t *testing.T) {
	r, _ := newTestRegistry()
	for n, class := range []sillwire.Class{sillwire.Rollout, sillwire.Interactive} {
		started := newTestRun(sillid.RequestID(class), n, true)
		started.req.Class = class
		started.req.Fingerprint = sillcrash.Fingerprint{byte(n)}
		checkAdded(t, r, started)
		r.start(started)
	}
	if all := r.running(); len(all) != 1 || all[0].Fingerprint != (sillcrash.Fingerprint{1}) {
		t.Errorf("suspects %v, want the interactive request alone", all)
	}
}
