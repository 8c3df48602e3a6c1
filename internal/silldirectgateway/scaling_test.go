package silldirectgateway

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillscaler"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// TestOccupancy adds up the requests of two gateways at the targets of a pool.
func TestOccupancy(t *testing.T) {
	v := newTestView()
	v.applyOperatorRows([]silltable.Row{{Key: "op/config", Value: []byte(`{"Version":1,"Scalings":[{"Pool":"p","Min":1,"Max":4,"Boot":3000000000}]}`)}})
	for id, entry := range map[string]string{
		"t-1": `{"Zone":"a"}`, "t-2": `{"Zone":"a"}`, "t-3": `{"Zone":"b"}`, "t-4": `{"Zone":"a","State":"draining"}`,
		"t-5": `{"Zone":"a","Pool":"other"}`,
	} {
		v.applyTargets([]silltable.Change{target(id, entry)}, 0)
	}
	for range 3 {
		v.directory.Pick(time.Now(), silltarget.Query{Pool: "p", Zone: "a"})
	}
	m := newTestMembership("front-a")
	var rows []silltable.Row
	for _, member := range []sillcluster.Member{
		{Instance: "front-a", Run: "a", PoolLoads: v.poolLoads()},
		{Instance: "front-b", Run: "b", PoolLoads: []sillcluster.PoolLoad{{Pool: "p", Zone: "b", Requests: 2}, {Pool: "gone", Zone: "b", Requests: 9}}},
	} {
		write, err := sillcluster.Encode(member)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, silltable.Row{Key: write.Key, Value: write.Value})
	}
	if err := m.members.Reset(sillclock.Boot(), rows); err != nil {
		t.Fatal(err)
	}
	c := &controlTasks{members: m, view: v}
	places := c.occupancy(v.scalingBounds())
	total := 0
	for zone, targets := range map[sillid.ZoneID]int{"a": 2, "b": 1} {
		o := places[sillscaler.PoolZone{Pool: "p", Zone: zone}]
		total += o.Busy
		if o.Targets != targets || o.Slots != 1 {
			t.Errorf("zone %s: %+v, want %d targets of one slot", zone, o, targets)
		}
	}
	if len(places) != 2 || total != 5 {
		t.Errorf("places %+v with %d requests, want 2 with 5", places, total)
	}
}
