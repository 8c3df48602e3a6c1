package silltarget

import (
	"errors"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// regionsDirectory returns a directory with a target in each of two zones, and one in a zone
// whose region is unknown.
func regionsDirectory() *Directory {
	regions := map[sillid.ZoneID]sillid.RegionID{"near": "home", "far": "away"}
	d := NewDirectoryWith(Config{RegionOf: func(z sillid.ZoneID) sillid.RegionID { return regions[z] }})
	for _, zone := range []sillid.ZoneID{"near", "far", "lost"} {
		d.Apply(Entry{ID: sillid.TargetID(zone), Pool: "p", Zone: zone, Address: "127.0.0.1:1", State: Ready, Slots: 2, StartedAt: time.UnixMilli(1)})
	}
	return d
}

// TestHomes guards against a request that is sent to a target outside its home regions by any
// of the selections.
func TestHomes(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		homes  sillhome.Homes
		picked []sillid.TargetID
	}{
		"no homes":     {"", []sillid.TargetID{"near", "far", "lost"}},
		"one home":     {sillhome.New([]sillid.RegionID{"home"}), []sillid.TargetID{"near"}},
		"unknown home": {sillhome.New([]sillid.RegionID{"moon"}), nil},
		"nowhere":      {sillhome.Nowhere, nil},
	} {
		t.Run(name, func(t *testing.T) {
			d := regionsDirectory()
			q := Query{Pool: "p", Homes: tc.homes}
			if n := d.FreeSlots(now, q); n != 2*len(tc.picked) || d.Slots(now, q) != n {
				t.Errorf("%d free slots and %d in all, want %d", n, d.Slots(now, q), 2*len(tc.picked))
			}
			if got, want := d.AnyEligible(now, q), len(tc.picked) > 0; got != want || d.AnyAvailable(now, q) != want || d.AllLeaving("p", tc.homes) == want {
				t.Errorf("eligible: %t, available: %t, all leaving: %t", got, d.AnyAvailable(now, q), d.AllLeaving("p", tc.homes))
			}
			picked := make(map[sillid.TargetID]bool)
			for q.FreeOnly = true; ; {
				g, ok := d.Pick(now, q)
				if !ok {
					break
				}
				picked[g.ID] = true
			}
			if len(picked) != len(tc.picked) {
				t.Errorf("picked %v, want %v", picked, tc.picked)
			}
			for _, id := range tc.picked {
				if !picked[id] {
					t.Errorf("%s was not picked", id)
				}
			}
		})
	}
}

// TestCheckSendLooksAtHomes guards against a request that is sent to a target which registered
// in another zone after it was picked.
func TestCheckSendLooksAtHomes(t *testing.T) {
	d := regionsDirectory()
	g, _ := d.Pick(time.Now(), Query{Pool: "p", Homes: sillhome.New([]sillid.RegionID{"home"})})
	if err := d.CheckSend(time.Now(), g); err != nil {
		t.Error(err)
	}
	e, _ := d.Entry("near")
	e.Zone = "far"
	d.Apply(e)
	if err := d.CheckSend(time.Now(), g); !errors.Is(err, ErrNotHome) {
		t.Errorf("error %v, want %v", err, ErrNotHome)
	}
}
