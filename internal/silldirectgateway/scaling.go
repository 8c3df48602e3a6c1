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

// scalingBounds returns the bounds of the autoscaled pools.
func (v *view) scalingBounds() map[sillid.PoolID]sillscaler.Bounds {
	c := v.catalog.Get()
	if c == nil {
		return nil
	}
	bounds := make(map[sillid.PoolID]sillscaler.Bounds, len(c.Scalings))
	for _, s := range c.Scalings {
		bounds[s.Pool] = sillscaler.Bounds{Min: s.Min, Max: s.Max, StartupTime: s.Boot}
	}
	return bounds
}

// poolLoads returns the running requests of this process in the autoscaled pools.
func (v *view) poolLoads() []sillcluster.PoolLoad {
	var loads []sillcluster.PoolLoad
	for pool := range v.scalingBounds() {
		for zone, n := range v.directory.RunningByZone(pool) {
			loads = append(loads, sillcluster.PoolLoad{Pool: pool, Zone: zone, Requests: n})
		}
	}
	return loads
}

// occupancy returns the ready targets by pool and zone, with the running requests
// of all live gateways.
func (c *controlTasks) occupancy(pools map[sillid.PoolID]sillscaler.Bounds) map[sillscaler.PoolZone]sillscaler.Occupancy {
	places := make(map[sillscaler.PoolZone]sillscaler.Occupancy)
	for pool := range pools {
		for _, e := range c.view.directory.Entries(pool) {
			if e.State != silltarget.Ready {
				continue
			}
			p := sillscaler.PoolZone{Pool: pool, Zone: e.Zone}
			o := places[p]
			o.Targets++
			o.Slots = e.Slots
			places[p] = o
		}
	}
	for _, m := range c.members.members.Live(sillclock.Boot()) {
		for _, b := range m.PoolLoads {
			p := sillscaler.PoolZone{Pool: b.Pool, Zone: b.Zone}
			if o, ok := places[p]; ok {
				o.Busy += b.Requests
				places[p] = o
			}
		}
	}
	return places
}

// scaleOrder returns a function that sends scale orders while the lease is held.
func (c *controlTasks) scaleOrder(guard silllease.Guard) func(context.Context, sillscaler.PoolZone, int) error {
	return func(ctx context.Context, p sillscaler.PoolZone, count int) error {
		if !guard.MayAct(sillclock.Boot().Add(taskCallTimeout)) {
			return errNotHolder
		}
		ctx, cancel := context.WithTimeout(ctx, taskCallTimeout)
		defer cancel()
		return c.adapter.SendScaleOrder(ctx, p, count, guard.Epoch)
	}
}
