package silllimit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// startRecord holds the times at which entries of each class started.
type startRecord struct {
	t *testing.T

	mu     sync.Mutex
	starts [numClasses][]time.Time
}

// run acquires a slot for an entry, and records its start.
func (s *startRecord) run(ctx context.Context, g *Gate, e Entry) {
	release, p := g.Acquire(ctx, e)
	if p != nil {
		s.t.Errorf("Acquire() = %v", p)
		return
	}
	s.mu.Lock()
	s.starts[e.Class] = append(s.starts[e.Class], time.Now())
	s.mu.Unlock()
	release(Result{ServiceTime: time.Millisecond})
}

// TestGateKeepsTheLimitOfItsTarget guards against a target that gets more requests than the
// limit that it names, and checks that callers' requests go first.
func TestGateKeepsTheLimitOfItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(16, 100)
		g.SetRate(5)
		began := time.Now()
		record := startRecord{t: t}
		group := sillgroup.New(t.Context())
		for i := range 40 {
			group.Go(func(ctx context.Context) { record.run(ctx, g, entry(i, "a", Rollout)) })
		}
		for i := range 4 {
			group.Go(func(ctx context.Context) {
				time.Sleep(time.Duration(i+1) * time.Second)
				asked := time.Now()
				record.run(ctx, g, entry(100+i, "b", Interactive))
				if waited := time.Since(asked); waited > 250*time.Millisecond {
					t.Errorf("a caller's request waited %v", waited)
				}
			})
		}
		time.Sleep(4 * time.Second)
		record.mu.Lock()
		started := len(record.starts[Rollout]) + len(record.starts[Interactive])
		record.mu.Unlock()
		if started > 22 || started < 18 {
			t.Errorf("%d entries started in %v at 5 a second", started, time.Since(began))
		}
		group.Wait()
		if n := len(record.starts[Rollout]); n != 40 {
			t.Errorf("%d of 40 rollouts started", n)
		}
	})
}

// TestGateRefusesBeyondTheLimit checks that a request that its target's limit does not allow
// in time is refused at once, and may go to another target.
func TestGateRefusesBeyondTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(16, 100)
		g.SetRate(0.3)
		e := entry(1, "a", Interactive)
		e.Deadline = time.Now().Add(5 * time.Second)
		began := time.Now()
		_, p := g.Acquire(t.Context(), e)
		if p == nil || p.Kind != sillproblem.Overload || p.Outcome != sillproblem.NotRun || p.RetryAfter == 0 {
			t.Fatalf("Acquire() = %+v, want overload, not-run, with a retry delay", p)
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("the refusal took %v", waited)
		}
	})
}

// TestLimitChanges checks that waiting entries start when the limit rises or ends.
func TestLimitChanges(t *testing.T) {
	for name, next := range map[string]sillrate.PerSecond{"rises": 100, "ends": 0} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newTestGate(16, 100)
				if !g.SetRate(0.1) || g.SetRate(0.1) {
					t.Error("SetRate does not tell what is a change")
				}
				record := startRecord{t: t}
				group := sillgroup.New(t.Context())
				for i := range 5 {
					group.Go(func(ctx context.Context) { record.run(ctx, g, entry(i, "a", Interactive)) })
				}
				time.Sleep(time.Second)
				g.SetRate(next)
				began := time.Now()
				group.Wait()
				if took := time.Since(began); took > 100*time.Millisecond {
					t.Errorf("5 entries took %v after the change", took)
				}
			})
		})
	}
}
