package silldirectgateway

import (
	"fmt"
	"slices"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// regionsMembership returns the members seen by a gateway in zone h1 of region home: two in each
// of the zones h1 and h2 of region home, f of region far and x, whose region is unknown.
func regionsMembership(t *testing.T) *membership {
	t.Helper()
	m := newTestMembership("h1-0")
	*m.settings = Settings{Instance: "h1-0", Zone: "h1", Region: "home", Regions: map[sillid.ZoneID]sillid.RegionID{"h1": "home", "h2": "home", "f": "far"}}
	for _, zone := range []sillid.ZoneID{"h1", "h2", "f", "x"} {
		for i := range 2 {
			name := fmt.Sprintf("%s-%d", zone, i)
			write, err := sillcluster.Encode(sillcluster.Member{Instance: sillid.InstanceID(name), Run: sillcluster.Run(name), Zone: zone, Address: name, Renewal: 1})
			if err != nil {
				t.Fatal(err)
			}
			row := silltable.Row{Key: write.Key, Value: write.Value, Revision: 1}
			if err := m.members.Apply(sillclock.Boot(), []silltable.Change{{Row: row}}); err != nil {
				t.Fatal(err)
			}
		}
	}
	return m
}

// TestOwnersByRegion guards against a gateway that owns a job, and so reads its bodies, outside
// the job's home regions and the region in which it was accepted.
func TestOwnersByRegion(t *testing.T) {
	m := regionsMembership(t)
	far := sillhome.New([]sillid.RegionID{"far"})
	for _, tc := range []struct {
		name      string
		placement silljob.Placement
		zones     []string
		mayTake   bool
	}{
		{"no homes", silljob.Placement{}, []string{"h1", "h2", "f", "x"}, true},
		{"homes", silljob.Placement{Homes: far}, []string{"f"}, false},
		{"accepted here", silljob.Placement{Homes: far, AcceptedIn: "home"}, []string{"f", "h1", "h2"}, true},
		{"accepted in an unknown region", silljob.Placement{Homes: far, AcceptedIn: ""}, []string{"f"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			seen := make(map[string]bool)
			for i := range 200 {
				p := tc.placement
				p.Model = sillid.ModelID(fmt.Sprint(i))
				run := string(m.owner(p))
				seen[run[:len(run)-2]] = true
				if _, ok := m.rank(p); ok != tc.mayTake {
					t.Fatalf("may take it over: %t, want %t", ok, tc.mayTake)
				}
			}
			if len(seen) != len(tc.zones) {
				t.Errorf("owners in zones %v, want %v", seen, tc.zones)
			}
			for _, zone := range tc.zones {
				if !seen[zone] {
					t.Errorf("no owner in zone %s", zone)
				}
			}
		})
	}
	if owner := m.owner(silljob.Placement{Homes: sillhome.Nowhere}); owner != silljob.GatewayRun(m.run) {
		t.Errorf("owner %s, want the gateway that accepted it", owner)
	}
}

// TestRegionPeers guards against calls with bodies that gateways of other regions pass on.
func TestRegionPeers(t *testing.T) {
	m := regionsMembership(t)
	peers := m.regionPeers()
	slices.Sort(peers)
	if want := []string{"h1-1", "h2-0", "h2-1"}; !slices.Equal(peers, want) {
		t.Errorf("peers %v, want %v", peers, want)
	}
	m.settings.Region, m.settings.Regions = "", nil
	if peers := m.regionPeers(); !slices.Equal(peers, []string{"h1-1"}) {
		t.Errorf("peers %v with unknown regions, want those of the zone", peers)
	}
}

// TestUnknownHomesAreLogged checks that a home region without a known zone is logged.
func TestUnknownHomesAreLogged(t *testing.T) {
	core, logs := observer.New(zapcore.WarnLevel)
	v := newTestView()
	v.log = zap.New(core)
	v.logUnknownHomes(&sillcatalog.Catalog{Routes: []sillcatalog.Route{{Homes: sillhome.New([]sillid.RegionID{"home", "other"})}}})
	if n := logs.Len(); n != 0 {
		t.Errorf("%d lines about known regions", n)
	}
	v.logUnknownHomes(&sillcatalog.Catalog{Organisations: []sillcatalog.Organisation{{Homes: sillhome.New([]sillid.RegionID{"moon"})}}})
	if n := logs.Len(); n != 1 {
		t.Errorf("%d lines about an unknown region, want 1", n)
	}
}

// TestOneGatewayDeletesAtHome guards against jobs with homes that nobody deletes, or that a
// gateway deletes, and so reads, in another region.
func TestOneGatewayDeletesAtHome(t *testing.T) {
	m := regionsMembership(t)
	for model := range 20 {
		p := silljob.Placement{Model: sillid.ModelID(fmt.Sprint(model)), Homes: sillhome.New([]sillid.RegionID{"home"})}
		deleters := make(map[sillid.ZoneID]int)
		for _, zone := range []sillid.ZoneID{"h1", "h2", "f", "x"} {
			for i := range 2 {
				m.settings.Instance = sillid.InstanceID(fmt.Sprintf("%s-%d", zone, i))
				if m.deletesAtHome(p) {
					deleters[zone]++
				}
				if m.deletesAtHome(silljob.Placement{Model: p.Model}) {
					t.Error("a job without homes is not left to the holder of the control tasks")
				}
			}
		}
		if deleters["h1"]+deleters["h2"] != 1 || len(deleters) != 1 {
			t.Errorf("gateways that delete, by zone: %v, want one at home", deleters)
		}
	}
}
