package silltarget

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// SetEvacuated replaces the set of evacuated availability zones, whose targets get no
// requests. It returns the zones that were added and removed, sorted. A target is presumed
// to be cold after the evacuation of its zone.
func (d *Directory) SetEvacuated(now time.Time, zones []sillid.ZoneID) (began, ended []sillid.ZoneID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	set := make(map[sillid.ZoneID]bool, len(zones))
	for _, zone := range zones {
		set[zone] = true
		if !d.evacuated[zone] {
			began = append(began, zone)
		}
	}
	for zone := range d.evacuated {
		if !set[zone] {
			ended = append(ended, zone)
		}
	}
	d.evacuated = set
	for _, t := range d.targets {
		t.evacuated = set[t.entry.Zone]
		if slices.Contains(ended, t.entry.Zone) {
			t.cold.presume(now)
		}
	}
	if len(began)+len(ended) > 0 {
		d.signalChange()
	}
	slices.Sort(began)
	slices.Sort(ended)
	return slices.Compact(began), ended
}

// Evacuated returns the evacuated availability zones, sorted.
func (d *Directory) Evacuated() []sillid.ZoneID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.evacuated))
}

// CountInZone returns the number of targets in an availability zone.
func (d *Directory) CountInZone(zone sillid.ZoneID) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, t := range d.targets {
		if t.entry.Zone == zone {
			n++
		}
	}
	return n
}
