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
	checkPick(t, d, start, Query{Prefer: "old"}, "old")
}

// TestSlowTargetsGetLess gives one target three times the pace of the others.
func TestSlowTargetsGetLess(t *testing.T) {
	d := directory(entry("fast", 12, 1), entry("slow", 12, 1))
	for range 50 {
		for id, pace := range map[sillid.TargetID]time.Duration{"fast": 40 * time.Millisecond, "slow": 120 * time.Millisecond} {
			d.Observe(start, Grant{ID: id, from: d.targets[id]}, nil, pace)
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

func TestFailuresRestATarget(t *testing.T) {
	for _, tc := range []struct {
		name     string
		outcomes []Outcome
		rests    bool
	}{
		{"unreachable", []Outcome{Unreachable}, true},
		{"one broken answer", []Outcome{Broken}, false},
		{"two in a row", []Outcome{Broken, TimedOut}, true},
		{"a success between", []Outcome{Broken, Answered, Broken}, false},
		{"full", []Outcome{Rejected}, true},
		{"misdirected", []Outcome{Misdirected}, true},
		{"caller left", []Outcome{Abandoned, Abandoned, Abandoned}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := directory(entry("a", 4, 1))
			for _, o := range tc.outcomes {
				g, _ := d.Pick(start, Query{Pool: "p", IncludeBackingOff: true})
				d.Release(start, g, o)
			}
			_, ok := d.Pick(start.Add(time.Millisecond), Query{Pool: "p"})
			if ok == tc.rests {
				t.Errorf("picked: %t, rests: %t", ok, tc.rests)
			}
			checkPick(t, d, start.Add(restMost+time.Second), Query{}, "a")
		})
	}
}

func TestRestIsBounded(t *testing.T) {
	d := directory(entry("a", 4, 1))
	for range 40 {
		g, _ := d.Pick(start, Query{Pool: "p", IncludeBackingOff: true})
		d.Release(start, g, Unreachable)
	}
	checkPick(t, d, start.Add(restMost-time.Millisecond), Query{}, "")
	checkPick(t, d, start.Add(restMost), Query{}, "a")
}

func TestLoadOfOthersCounts(t *testing.T) {
	d := directory(entry("a", 4, 1), entry("b", 4, 1))
	g := checkPick(t, d, start, Query{Prefer: "a"}, "a")
	d.Observe(start, g, &Load{Running: 4, Waiting: 1, Slots: 4}, 0)
	checkPick(t, d, start, Query{FreeOnly: true}, "b")
	checkPick(t, d, start.Add(loadLife), Query{Prefer: "a", FreeOnly: true}, "a")
}

func TestVersionsOnlyGrowWithinARun(t *testing.T) {
	d := directory(entry("a", 4, 1))
	d.ObserveVersion("a", "m", 3)
	d.Apply(entry("a", 4, 2))
	checkPick(t, d, start, Query{Model: "m", MinVersion: 3}, "a")
	reborn := entry("a", 4, 2)
	reborn.StartedAt = start.Add(time.Second)
	d.Apply(reborn)
	checkPick(t, d, start, Query{Model: "m", MinVersion: 3}, "")
}

func TestLapsedTargets(t *testing.T) {
	t.Run("comes back", func(t *testing.T) {
		d := directory(entry("a", 4, 1))
		d.MarkMissing(start, "a")
		checkPick(t, d, start, Query{}, "a")
		d.Apply(entry("a", 4, 1))
		if gone := d.Expire(start.Add(lapseGrace)); len(gone) != 0 {
			t.Errorf("forgot %v", gone)
		}
	})
	t.Run("stays away", func(t *testing.T) {
		d := directory(entry("a", 4, 1))
		d.MarkMissing(start, "a")
		if gone := d.Expire(start.Add(lapseGrace - time.Millisecond)); len(gone) != 0 {
			t.Errorf("forgot %v too early", gone)
		}
		if gone := d.Expire(start.Add(lapseGrace)); len(gone) != 1 {
			t.Errorf("forgot %v, want a", gone)
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

func TestChangedWakes(t *testing.T) {
	d := directory(entry("a", 1, 1))
	changed := d.Changed()
	g := checkPick(t, d, start, Query{}, "a")
	d.Release(start, g, Answered)
	select {
	case <-changed:
	default:
		t.Error("a freed slot wakes nobody")
	}
}
