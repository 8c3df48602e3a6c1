package silltarget

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
)

func named(limit sillrate.PerSecond) sillrate.Notice {
	return sillrate.Notice{Kind: sillrate.Named, Limit: limit}
}

func checkLimit(t *testing.T, d *Directory, run Run, want sillrate.PerSecond) {
	t.Helper()
	if got, _ := d.Limit(start, run); got.Limit != want {
		t.Errorf("limit of %v is %g, want %g", run, got.Limit, want)
	}
}

func TestObserveLimit(t *testing.T) {
	e := entry("a", 4, 1)
	run := e.Run()
	t.Run("a signed answer without a limit ends it", func(t *testing.T) {
		d := directory(e)
		d.ObserveLimit(start, start, run, named(3), true)
		checkLimit(t, d, run, 3)
		d.ObserveLimit(start.Add(time.Millisecond), start.Add(time.Millisecond), run, sillrate.Notice{}, false)
		checkLimit(t, d, run, 3)
		d.ObserveLimit(start.Add(time.Millisecond), start.Add(time.Millisecond), run, sillrate.Notice{}, true)
		checkLimit(t, d, run, 0)
	})
	t.Run("an answer to an older request does not end it", func(t *testing.T) {
		d := directory(e)
		d.ObserveLimit(start, start, run, named(3), true)
		d.ObserveLimit(start.Add(-time.Millisecond), start.Add(time.Second), run, sillrate.Notice{}, true)
		checkLimit(t, d, run, 3)
	})
	t.Run("an invalid limit changes nothing", func(t *testing.T) {
		d := directory(e)
		d.ObserveLimit(start, start, run, named(3), true)
		d.ObserveLimit(start, start, run, sillrate.Notice{Kind: sillrate.Invalid}, true)
		checkLimit(t, d, run, 3)
	})
	t.Run("a new run under the id has no limit", func(t *testing.T) {
		d := directory(e)
		d.ObserveLimit(start, start, run, named(3), true)
		next := e
		next.StartedAt = start.Add(time.Second)
		d.Apply(next)
		if g := checkPick(t, d, start, Query{}, "a"); g.Limited {
			t.Error("the new run counts as limited")
		}
		d.ObserveLimit(start, start, run, named(3), true)
		if g := checkPick(t, d, start, Query{}, "a"); g.Limited {
			t.Error("a late answer of the old run limits the new one")
		}
	})
	t.Run("a limit known before its target is registered holds", func(t *testing.T) {
		d := NewDirectory()
		d.MergeLimits(start, []RunLimit{{Run: run, Limit: 3}})
		d.Apply(e)
		if g := checkPick(t, d, start, Query{}, "a"); !g.Limited {
			t.Error("the target does not count as limited")
		}
	})
}

func TestMergeLimits(t *testing.T) {
	e := entry("a", 4, 1)
	run := e.Run()
	later := start.Add(10 * time.Second)
	for name, tc := range map[string]struct {
		at   time.Time
		told RunLimit
		want sillrate.PerSecond
	}{
		"newer":                         {later, RunLimit{Run: run, Limit: 5, AgeMS: 100}, 5},
		"older":                         {later, RunLimit{Run: run, Limit: 5, AgeMS: 11000}, 3},
		"newer, that it ended":          {later, RunLimit{Run: run, AgeMS: 100}, 0},
		"right after an own one":        {start.Add(time.Second), RunLimit{Run: run, Limit: 5}, 3},
		"with an age that is not valid": {later, RunLimit{Run: run, Limit: 5, AgeMS: -1000}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			d := directory(e)
			d.ObserveLimit(start, start, run, named(3), true)
			d.MergeLimits(tc.at, []RunLimit{tc.told})
			checkLimit(t, d, run, tc.want)
		})
	}
}

func TestDeny(t *testing.T) {
	a, b := entry("a", 4, 1), entry("b", 4, 1)
	d := directory(a, b)
	q := Query{Pool: "p", Class: sillrate.Background}
	d.ObserveLimit(start, start, a.Run(), named(3), true)
	d.Deny(start, a.Run(), sillrate.Background, time.Second)
	checkPick(t, d, start, Query{Class: sillrate.Background, FreeOnly: true}, "b")
	if _, limited := d.LimitedUntil(start, q); limited {
		t.Error("another target has no limit")
	}
	d.ObserveLimit(start, start, b.Run(), named(3), true)
	d.Deny(start, b.Run(), sillrate.Background, 2*time.Second)
	checkPick(t, d, start, Query{Class: sillrate.Background}, "")
	if until, limited := d.LimitedUntil(start, q); !limited || !until.Equal(start.Add(time.Second)) {
		t.Errorf("limited until %v (%t)", until, limited)
	}
	if !d.AnyEligible(start, q) {
		t.Error("no target will ever be eligible")
	}
	if g, ok := d.Pick(start, Query{Pool: "p"}); !ok || !g.Limited {
		t.Error("the other class is denied as well")
	}
	checkPick(t, d, start.Add(time.Second), Query{Class: sillrate.Background}, "a")
}

// TestLimitsAreForgotten guards against limits of runs that are gone which are kept for the
// life of a process.
func TestLimitsAreForgotten(t *testing.T) {
	e := entry("a", 4, 1)
	all := func(Run) bool { return true }
	d := directory(e)
	d.ObserveLimit(start, start, e.Run(), named(3), true)
	if got := d.Limits(start.Add(time.Hour), 9, all); len(got) != 1 {
		t.Errorf("%d limits of registered targets, want 1", len(got))
	}
	d.Remove("a")
	if got := d.Limits(start.Add(time.Hour), 9, all); len(got) != 0 {
		t.Errorf("%d limits of targets that are gone, want 0", len(got))
	}
}
