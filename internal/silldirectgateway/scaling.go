package silldirectgateway

import (
	"context"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillscaler"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// scalings returns the bounds of the pools whose number of targets follows the load.
func (v *view) scalings() map[sillid.PoolID]sillscaler.Bounds {
	c := v.catalog.Get()
	if c == nil {
		return nil
	}
	bounds := make(map[sillid.PoolID]sillscaler.Bounds, len(c.Scalings))
	for _, s := range c.Scalings {
		bounds[s.Pool] = sillscaler.Bounds{Min: s.Min, Max: s.Max, Boot: s.Boot}
	}
	return bounds
}

// busy returns this process's requests at the targets of those pools.
func (v *view) busy() []sillcluster.PoolLoad {
	var busy []sillcluster.PoolLoad
	for pool := range v.scalings() {
		for zone, n := range v.directory.RunningByZone(pool) {
			busy = append(busy, sillcluster.PoolLoad{Pool: pool, Zone: zone, Requests: n})
		}
	}
	return busy
}

// occupancy adds up what all gateways have at the targets of pools.
func (d *duties) occupancy(pools map[sillid.PoolID]sillscaler.Bounds) map[sillscaler.Place]sillscaler.Occupancy {
	places := make(map[sillscaler.Place]sillscaler.Occupancy)
	for pool := range pools {
		for _, e := range d.view.directory.Entries(pool) {
			if e.State != silltarget.Ready {
				continue
			}
			p := sillscaler.Place{Pool: pool, Zone: e.Zone}
			o := places[p]
			o.Targets++
			o.Slots = e.Slots
			places[p] = o
		}
	}
	for _, m := range d.members.members.Live(sillclock.Boot()) {
		for _, b := range m.PoolLoads {
			p := sillscaler.Place{Pool: b.Pool, Zone: b.Zone}
			if o, ok := places[p]; ok {
				o.Busy += b.Requests
				places[p] = o
			}
		}
	}
	return places
}

// scaleOrder sends orders while the lease lasts.
func (d *duties) scaleOrder(guard silllease.Guard) func(context.Context, sillscaler.Place, int) error {
	return func(ctx context.Context, p sillscaler.Place, count int) error {
		if !guard.MayAct(sillclock.Boot().Add(dutyCall)) {
			return errNotHolder
		}
		ctx, cancel := context.WithTimeout(ctx, dutyCall)
		defer cancel()
		return d.seams.SendScaleOrder(ctx, p, count, guard.Epoch)
	}
}
