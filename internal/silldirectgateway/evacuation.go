package silldirectgateway

import (
	"maps"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// evacuatedZone returns the availability zone that a row of the operator's table evacuates,
// and false for other rows.
func (v *view) evacuatedZone(key string) (sillid.ZoneID, bool) {
	zone, ok := strings.CutPrefix(key, v.adapter.EvacuationPrefix)
	return sillid.ZoneID(zone), ok && zone != "" && v.adapter.EvacuationPrefix != ""
}

// resetEvacuations replaces the evacuated zones by those that the rows of the whole table
// name.
func (v *view) resetEvacuations(rows []silltable.Row) {
	clear(v.evacuated)
	for _, row := range rows {
		if zone, ok := v.evacuatedZone(row.Key); ok {
			v.evacuated[zone] = true
		}
	}
	v.setEvacuated()
}

// applyEvacuations applies changes of the operator's table. Each change takes effect by
// itself: a zone whose row comes and goes within one page may have cold targets.
func (v *view) applyEvacuations(changes []silltable.Change) {
	for _, c := range changes {
		zone, ok := v.evacuatedZone(c.Row.Key)
		if !ok {
			continue
		}
		if c.Removed {
			delete(v.evacuated, zone)
		} else {
			v.evacuated[zone] = true
		}
		v.setEvacuated()
	}
}

func (v *view) setEvacuated() {
	began, ended := v.directory.SetEvacuated(time.Now(), slices.Collect(maps.Keys(v.evacuated)))
	for _, zone := range began {
		targets := v.directory.CountInZone(zone)
		if targets == 0 {
			v.log.Warn("Evacuated zone has no known targets; check its name.", zap.String("zone", string(zone)))
			continue
		}
		v.log.Warn("Zone is evacuated; sending nothing more to its targets.", zap.String("zone", string(zone)), zap.Int("targets", targets))
	}
	for _, zone := range ended {
		v.log.Warn("Evacuation ended; the zone's targets may be cold.",
			zap.String("zone", string(zone)), zap.Int("targets", v.directory.CountInZone(zone)))
	}
}
