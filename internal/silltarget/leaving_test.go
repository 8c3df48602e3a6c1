package silltarget

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func runOf(e Entry) Run { return e.Run() }

func checkShared(t *testing.T, d *Directory, want ...sillid.TargetID) {
	t.Helper()
	var got []sillid.TargetID
	for _, run := range d.LeavingRuns(maxLeavingRuns) {
		got = append(got, run.Target)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("leaving runs to share %v, want %v", got, want)
	}
}

func TestLeavingHoldsForOneRun(t *testing.T) {
	a := entry("a", 1, 1)
	next := a
	next.StartedAt = a.StartedAt.Add(time.Second)
	t.Run("it is picked no more", func(t *testing.T) {
		d := directory(a)
		d.ObserveNotice(start, runOf(a), Leaving)
		checkPick(t, d, start, Query{IncludeBackingOff: true}, "")
	})
	t.Run("a registry entry that says ready does not undo it", func(t *testing.T) {
		d := directory(a)
		d.ObserveNotice(start, runOf(a), Leaving)
		d.Apply(a)
		checkPick(t, d, start, Query{}, "")
		d.Remove("a")
		d.Apply(a)
		checkPick(t, d, start, Query{}, "")
	})
	t.Run("the next run under the id is picked", func(t *testing.T) {
		d := directory(a)
		d.ObserveNotice(start, runOf(a), Leaving)
		d.Apply(next)
		checkPick(t, d, start, Query{}, "a")
	})
	t.Run("a late notice of the run before is ignored", func(t *testing.T) {
		d := directory(next)
		d.ObserveNotice(start, runOf(a), Leaving)
		checkPick(t, d, start, Query{}, "a")
	})
	t.Run("it is known before the entry", func(t *testing.T) {
		d := directory()
		d.MergeLeaving(start, []Run{runOf(a)})
		d.Apply(a)
		checkPick(t, d, start, Query{}, "")
	})
	t.Run("an invalid notice has no effect", func(t *testing.T) {
		d := directory(a)
		d.ObserveNotice(start, runOf(a), InvalidNotice)
		checkPick(t, d, start, Query{}, "a")
	})
}

func TestSharedLeavingRuns(t *testing.T) {
	a, b, c := entry("a", 1, 1), entry("b", 1, 1), entry("c", 1, 1)
	d := directory(a, b, c)
	for _, e := range []Entry{b, a} {
		d.ObserveNotice(start, runOf(e), Leaving)
	}
	checkShared(t, d, "a", "b")
	b.State = Draining
	d.Apply(b)
	checkShared(t, d, "a")
	d.Remove("a")
	checkShared(t, d)
}

func TestAllLeaving(t *testing.T) {
	a, b := entry("a", 1, 1), entry("b", 1, 1)
	b.State = Draining
	d := directory()
	checkAllLeaving := func(want bool) {
		t.Helper()
		if got := d.AllLeaving("p", ""); got != want {
			t.Errorf("all leave: %t, want %t", got, want)
		}
	}
	checkAllLeaving(false)
	d.Apply(b)
	checkAllLeaving(true)
	d.Apply(a)
	checkAllLeaving(false)
	d.ObserveNotice(start, runOf(a), Leaving)
	checkAllLeaving(true)
}

func TestLeavingRunsAreBounded(t *testing.T) {
	d := directory()
	for i := range 2 * maxLeavingRuns {
		d.ObserveNotice(start.Add(time.Duration(i)), Run{Target: sillid.TargetID(fmt.Sprint(i))}, Leaving)
	}
	if n := len(d.leaving); n != maxLeavingRuns {
		t.Errorf("%d runs are kept, want %d", n, maxLeavingRuns)
	}
	d.ObserveNotice(start.Add(2*leavingRetention), Run{Target: "new"}, Leaving)
	if n := len(d.leaving); n != 1 {
		t.Errorf("%d runs are kept after the retention, want 1", n)
	}
}
