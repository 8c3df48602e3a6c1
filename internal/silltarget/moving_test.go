package silltarget

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const movingCost = 100 * time.Millisecond

// threeSpeeds returns a directory of engines of speed 0.6, 1 and 1.6 that run some requests of others.
func threeSpeeds(running map[sillid.TargetID]int) *Directory {
	d := directory(entry("slow", 4, 1), entry("mean", 4, 1), entry("fast", 4, 1))
	for i, id := range []sillid.TargetID{"slow", "mean", "fast"} {
		report(d, start, id, time.Duration(100/placementSpeeds[i])*time.Millisecond, 100)
		t := d.targets[id]
		d.Observe(start, Grant{ID: id, target: t}, &Load{Running: running[id], Slots: 4, Duration: 100}, 0)
		t.usualOthers = float64(running[id])
	}
	return d
}

// TestMovesSaveTime guards against long items that stay at an engine of speed 0.6, since it is
// less than 1.6 times slower than the mean, and against moves that save nothing.
func TestMovesSaveTime(t *testing.T) {
	for name, tc := range map[string]struct {
		at      sillid.TargetID
		running map[sillid.TargetID]int
		units   int
		taken   map[sillid.TargetID]int
		cost    time.Duration
		want    sillid.TargetID
	}{
		"slow to fast":             {at: "slow", units: 20, want: "fast"},
		"mean to fast":             {at: "mean", units: 20, want: "fast"},
		"little left":              {at: "slow", units: 4},
		"fast stays":               {at: "fast", units: 100},
		"costs more than it saves": {at: "mean", units: 20, cost: 600 * time.Millisecond},
		"fast is full":             {at: "slow", units: 20, running: map[sillid.TargetID]int{"fast": 4}, want: "mean"},
		"fast is probably full":    {at: "slow", units: 20, running: map[sillid.TargetID]int{"fast": 3}, want: "mean"},
		"slots are taken":          {at: "slow", units: 20, taken: map[sillid.TargetID]int{"fast": 4}, want: "mean"},
		"all others are full":      {at: "slow", units: 20, running: map[sillid.TargetID]int{"fast": 4, "mean": 4}},
	} {
		t.Run(name, func(t *testing.T) {
			d := threeSpeeds(tc.running)
			q := Query{Pool: "p", Batched: true, MovingCost: max(tc.cost, movingCost)}
			m, ok := d.FindMove(start, tc.at, q, tc.units, tc.taken)
			if !ok {
				m.To = ""
			}
			if m.To != tc.want {
				t.Errorf("move %+v, want one to %q", m, tc.want)
			}
		})
	}
}

// TestItemsStayWhereTheyAreSent guards against an item at an idle slow engine that it leaves at
// once for a faster one with requests.
func TestItemsStayWhereTheyAreSent(t *testing.T) {
	running := map[sillid.TargetID]int{"slow": 0, "mean": 4, "fast": 2}
	for _, tc := range []struct {
		work time.Duration
		want sillid.TargetID
	}{{500 * time.Millisecond, "slow"}, {4 * time.Second, "fast"}} {
		d := threeSpeeds(running)
		q := Query{Pool: "p", Batched: true, FreeOnly: true, WorkTime: tc.work, MovingCost: movingCost}
		g := checkPick(t, d, start, q, tc.want)
		if m, ok := d.FindMove(start, g.ID, q, 0, nil); ok {
			t.Errorf("an item of %v moves at once: %+v", tc.work, m)
		}
	}
}
