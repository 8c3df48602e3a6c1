package silllimit

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

func newTestGate(slots, waiting int) *Gate {
	return NewGate(GateConfig{Queue: Config{MaxConcurrent: slots, MaxWaiting: waiting}, Now: time.Now})
}

func TestGateBoundsConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTestGate(3, 100)
		var running, most, ran atomic.Int64
		group := sillgroup.New(t.Context())
		for i := range 50 {
			group.Go(func(ctx context.Context) {
				release, p := g.Acquire(ctx, entry(i, "a", Interactive))
				if p != nil {
					t.Errorf("Acquire() = %v", p)
					return
				}
				most.Store(max(most.Load(), running.Add(1)))
				time.Sleep(time.Second)
				running.Add(-1)
				ran.Add(1)
				release(Result{ServiceTime: time.Second})
			})
		}
		group.Wait()
		if most.Load() != 3 || ran.Load() != 50 {
			t.Errorf("%d ran, at most %d at once; want 50 and 3", ran.Load(), most.Load())
		}
	})
}

func TestGateRefusals(t *testing.T) {
	hold := func(t *testing.T, g *Gate) func(Result) {
		release, p := g.Acquire(t.Context(), entry(0, "a", Interactive))
		if p != nil {
			t.Fatal(p)
		}
		return release
	}
	check := func(t *testing.T, g *Gate, p *sillproblem.Problem, kind sillproblem.Kind) {
		t.Helper()
		if p == nil || p.Kind != kind || p.Outcome != sillproblem.NotRun {
			t.Errorf("Acquire() = %v, want %s, not-run", p, kind)
		}
		if got := g.Snapshot().Waiting[Interactive]; got != 0 {
			t.Errorf("%d entries wait, want 0", got)
		}
	}
	t.Run("deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newTestGate(1, 10)
			hold(t, g)
			e := entry(1, "a", Interactive)
			e.Deadline = time.Now().Add(5 * time.Second)
			_, p := g.Acquire(t.Context(), e)
			check(t, g, p, sillproblem.DeadlinePassed)
		})
	})
	t.Run("caller gone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newTestGate(1, 10)
			hold(t, g)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, p := g.Acquire(ctx, entry(1, "a", Interactive))
			check(t, g, p, sillproblem.DeadlinePassed)
		})
	})
	t.Run("slot goes to the next", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := newTestGate(1, 10)
			hold(t, g)(Result{ServiceTime: time.Second})
			hold(t, g)
		})
	})
}

func TestAdmission(t *testing.T) {
	a := NewAdmission()
	leave, p := a.Admit("o", 1)
	if p != nil {
		t.Fatal(p)
	}
	if _, p := a.Admit("o", 1); p == nil || p.Kind != sillproblem.OrganisationLimit || p.RetryAfter <= 0 {
		t.Errorf("Enter() = %v, want organisation-limit with Retry-After", p)
	}
	if _, p := a.Admit("other", 1); p != nil {
		t.Errorf("Enter(other) = %v, want admitted", p)
	}
	leave(time.Second)
	if _, p := a.Admit("o", 1); p != nil {
		t.Errorf("Enter() = %v after the first left, want admitted", p)
	}
}
