package silltarget

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var start = time.Unix(1000, 0)

func entry(id sillid.TargetID, slots int, version sillid.WeightVersion) Entry {
	return Entry{
		ID: id, Pool: "p", Zone: "z", Address: string(id) + ":1", State: Ready, Slots: slots, StartedAt: start,
		Versions: map[sillid.ModelID]sillid.WeightVersion{"m": version},
	}
}

func directory(entries ...Entry) *Directory {
	d := NewDirectory()
	for _, e := range entries {
		d.Apply(e)
	}
	return d
}

func checkPick(t *testing.T, d *Directory, now time.Time, q Query, want sillid.TargetID) Grant {
	t.Helper()
	q.Pool = "p"
	g, ok := d.Pick(now, q)
	if g.ID != want || ok != (want != "") {
		t.Fatalf("picked %q (%t), want %q", g.ID, ok, want)
	}
	return g
}

func TestPickTakesTheLeastBusy(t *testing.T) {
	d := directory(entry("a", 2, 1), entry("b", 4, 1))
	counts := map[sillid.TargetID]int{}
	for range 6 {
		g, ok := d.Pick(start, Query{Pool: "p", FreeOnly: true})
		if !ok {
			t.Fatal("no target with a free slot")
		}
		counts[g.ID]++
	}
	if counts["a"] != 2 || counts["b"] != 4 {
		t.Errorf("requests by target %v, want 2 and 4", counts)
	}
	checkPick(t, d, start, Query{FreeOnly: true}, "")
	checkPick(t, d, start, Query{}, "b")
}

func TestPickFiltersTargets(t *testing.T) {
	draining := entry("d", 9, 9)
	draining.State = Draining
	d := directory(entry("old", 4, 1), entry("new", 4, 3), draining)
	checkPick(t, d, start, Query{Model: "m", MinVersion: 2}, "new")
	checkPick(t, d, start, Query{Model: "m", MinVersion: 4}, "")
	checkPick(t, d, start, Query{Model: "m", ExactVersion: 1}, "old")
	checkPick(t, d, start, Query{Exclude: map[sillid.TargetID]bool{"new": true}}, "old")
	checkPick(t, d, start, Query{Cached: "old", CachedSaving: 1}, "old")
}

// TestSlowTargetsGetLess gives one target three times the unit latency of the other.
func TestSlowTargetsGetLess(t *testing.T) {
	d := directory(entry("fast", 12, 1), entry("slow", 12, 1))
	for range 50 {
		for id, latency := range map[sillid.TargetID]time.Duration{"fast": 40 * time.Millisecond, "slow": 120 * time.Millisecond} {
			d.Observe(start, Grant{ID: id, target: d.targets[id]}, nil, latency)
		}
	}
	counts := map[sillid.TargetID]int{}
	for range 8 {
		g, _ := d.Pick(start, Query{Pool: "p"})
		counts[g.ID]++
	}
	if counts["fast"] != 6 || counts["slow"] != 2 {
		t.Errorf("requests by target %v, want 6 and 2", counts)
	}
	checkPick(t, d, start, Query{MaxUnitLatency: 80 * time.Millisecond}, "fast")
}

func TestFailuresStartBackoff(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcomes []Outcome
		backsOff bool
	}{
		{"unreachable", []Outcome{Unreachable}, true},
		{"one broken response", []Outcome{Broken}, false},
		{"two in a row", []Outcome{Broken, TimedOut}, true},
		{"a success between", []Outcome{Broken, Answered, Broken}, false},
		{"rejected", []Outcome{Rejected}, true},
		{"misdirected", []Outcome{Misdirected}, true},
		{"cancelled by the caller", []Outcome{Abandoned, Abandoned, Abandoned}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := directory(entry("a", 4, 1))
			for _, o := range tc.outcomes {
				g, _ := d.Pick(start, Query{Pool: "p", IncludeBackingOff: true})
				d.Release(start, g, o)
			}
			_, ok := d.Pick(start.Add(time.Millisecond), Query{Pool: "p"})
			if ok == tc.backsOff {
				t.Errorf("picked: %t, backs off: %t", ok, tc.backsOff)
			}
			checkPick(t, d, start.Add(maxBackoff+time.Second), Query{}, "a")
		})
	}
}

func TestBackoffIsBounded(t *testing.T) {
	d := directory(entry("a", 4, 1))
	for range 40 {
		g, _ := d.Pick(start, Query{Pool: "p", IncludeBackingOff: true})
		d.Release(start, g, Unreachable)
	}
	checkPick(t, d, start.Add(maxBackoff-time.Millisecond), Query{}, "")
	checkPick(t, d, start.Add(maxBackoff), Query{}, "a")
}

func TestLoadOfOthersCounts(t *testing.T) {
	d := directory(entry("a", 4, 1), entry("b", 4, 1))
	g := checkPick(t, d, start, Query{Cached: "a", CachedSaving: 1}, "a")
	d.Observe(start, g, &Load{Running: 4, Waiting: 1, Slots: 4}, 0)
	checkPick(t, d, start, Query{FreeOnly: true}, "b")
	checkPick(t, d, start.Add(loadTTL), Query{Cached: "a", CachedSaving: 1, FreeOnly: true}, "a")
}

func TestVersionsOnlyGrowWithinARun(t *testing.T) {
	d := directory(entry("a", 4, 1))
	d.ObserveVersion("a", "m", 3)
	d.Apply(entry("a", 4, 2))
	checkPick(t, d, start, Query{Model: "m", MinVersion: 3}, "a")
	restarted := entry("a", 4, 2)
	restarted.StartedAt = start.Add(time.Second)
	d.Apply(restarted)
	checkPick(t, d, start, Query{Model: "m", MinVersion: 3}, "")
}

func TestMissingTargets(t *testing.T) {
	t.Run("registers again", func(t *testing.T) {
		d := directory(entry("a", 4, 1))
		d.MarkMissing(start, "a")
		checkPick(t, d, start, Query{}, "a")
		d.Apply(entry("a", 4, 1))
		if removed := d.Expire(start.Add(missingGrace)); len(removed) != 0 {
			t.Errorf("removed %v, want none", removed)
		}
	})
	t.Run("stays missing", func(t *testing.T) {
		d := directory(entry("a", 4, 1))
		d.MarkMissing(start, "a")
		if removed := d.Expire(start.Add(missingGrace - time.Millisecond)); len(removed) != 0 {
			t.Errorf("removed %v too early", removed)
		}
		if removed := d.Expire(start.Add(missingGrace)); len(removed) != 1 {
			t.Errorf("removed %v, want a", removed)
		}
		checkPick(t, d, start, Query{}, "")
	})
	t.Run("removed while it runs a request", func(t *testing.T) {
		d := directory(entry("a", 4, 1))
		g := checkPick(t, d, start, Query{}, "a")
		d.Remove("a")
		d.Release(start, g, Answered)
		checkPick(t, d, start, Query{IncludeBackingOff: true}, "")
	})
}

// TestRestartFreesSlots guards against slots that stay taken by requests of a target's
// former run.
func TestRestartFreesSlots(t *testing.T) {
	for _, tc := range []struct {
		name string
		next func(e Entry) Entry
	}{
		{"new run", func(e Entry) Entry { e.StartedAt = start.Add(time.Second); return e }},
		{"new address", func(e Entry) Entry { e.Address = "elsewhere"; return e }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := directory(entry("a", 2, 1))
			before := []Grant{checkPick(t, d, start, Query{}, "a"), checkPick(t, d, start, Query{}, "a")}
			d.Apply(tc.next(entry("a", 2, 1)))
			for _, g := range before {
				d.Release(start, g, Broken)
			}
			if running := d.RunningByZone("p"); len(running) != 0 {
				t.Errorf("running by zone: %v, want none", running)
			}
			checkPick(t, d, start, Query{FreeOnly: true}, "a")
			checkPick(t, d, start, Query{FreeOnly: true}, "a")
			checkPick(t, d, start, Query{FreeOnly: true}, "")
		})
	}
}

func TestReleaseSignalsChange(t *testing.T) {
	d := directory(entry("a", 1, 1))
	changed := d.Changed()
	g := checkPick(t, d, start, Query{}, "a")
	d.Release(start, g, Answered)
	select {
	case <-changed:
	default:
		t.Error("releasing a slot did not close the channel")
	}
}

// TestCachedPromptIsASaving guards against groups of items that fill one target for the sake of
// their shared prompt while others are free: all of them become slow together.
func TestCachedPromptIsASaving(t *testing.T) {
	q := Query{Pool: "p", Cached: "b", CachedSaving: 0.03}
	d := directory(entry("a", 8, 1), entry("b", 8, 1))
	report(d, start, "a", time.Second, 100)
	report(d, start, "b", time.Second, 100)
	// Pick samples targets that cost nearly the same; the order of the costs is checked.
	for i, want := range []sillid.TargetID{"b", "a", "b"} {
		if list := d.Explain(start, q); list[0].ID != want || list[0].Cost >= list[1].Cost {
			t.Fatalf("choice %d: %+v, want %q to cost less", i, list, want)
		}
		d.targets[want].running++
	}
}
