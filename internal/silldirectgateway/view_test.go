package silldirectgateway

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// newTestView returns a view whose rows are JSON of the internal types.
func newTestView() *view {
	return newView(&Settings{Zone: "a", Region: "home", Regions: map[sillid.ZoneID]sillid.RegionID{"b": "other"}}, &Adapter{
		OperatorTable: "op", ConfigKey: "op/config", VersionPrefix: "op/version/", RegistryTable: "targets",
		DecodeCatalog: func(b []byte) (*sillcatalog.Catalog, error) {
			var c sillcatalog.Catalog
			err := json.Unmarshal(b, &c)
			return c.Index(), err
		},
		DecodeModelVersion: func(b []byte) (sillid.ModelID, sillid.WeightVersion, error) {
			model, version, ok := strings.Cut(string(b), " ")
			if !ok {
				return "", 0, errors.New("no version")
			}
			return sillid.ModelID(model), sillid.WeightVersion(len(version)), nil
		},
		DecodeTarget: func(id string, b []byte) (silltarget.Entry, error) {
			e := silltarget.Entry{State: silltarget.Ready, Pool: "p", Slots: 1}
			err := json.Unmarshal(b, &e)
			e.ID = sillid.TargetID(id)
			return e, err
		},
	}, silltarget.NewDirectory(), zap.NewNop())
}

func target(id, value string) silltable.Change {
	return silltable.Change{Row: silltable.Row{Key: "targets/" + id, Value: []byte(value)}}
}

func removed(id string) silltable.Change {
	return silltable.Change{Row: silltable.Row{Key: "targets/" + id}, Removed: true}
}

func checkTargets(t *testing.T, v *view, want int) {
	t.Helper()
	if got := len(v.directory.IDs()); got != want {
		t.Errorf("%d targets, want %d", got, want)
	}
}

func TestRegistryChanges(t *testing.T) {
	t.Run("removed", func(t *testing.T) {
		v := newTestView()
		v.applyTargets([]silltable.Change{target("a", "{}"), target("b", "{}"), target("ghost", "?")}, 0)
		checkTargets(t, v, 2)
		v.applyTargets([]silltable.Change{removed("a")}, 0)
		checkTargets(t, v, 1)
	})
	t.Run("removed while the store was unavailable", func(t *testing.T) {
		v := newTestView()
		v.applyTargets([]silltable.Change{target("a", "{}"), target("b", "{}")}, 0)
		v.applyTargets([]silltable.Change{removed("a"), removed("b")}, 3*time.Second)
		v.applyTargets([]silltable.Change{target("b", "{}")}, 0)
		checkTargets(t, v, 2)
		v.directory.Expire(time.Now().Add(5 * time.Second))
		checkTargets(t, v, 1)
	})
	t.Run("missing after the history was compacted", func(t *testing.T) {
		v := newTestView()
		v.applyTargets([]silltable.Change{target("a", "{}"), target("b", "{}")}, 0)
		v.resetTargets([]silltable.Row{target("b", "{}").Row}, 0)
		checkTargets(t, v, 1)
	})
}

func TestDesiredVersions(t *testing.T) {
	v := newTestView()
	if got := v.desiredVersions("p"); got != nil {
		t.Errorf("without a configuration: %v", got)
	}
	v.applyOperatorRows([]silltable.Row{
		{Key: "op/config", Value: []byte(`{"Version":1,"Models":[{"ID":"m0","Pool":"p"},{"ID":"m1","Pool":"p"},{"ID":"m2","Pool":"q"}]}`)},
		{Key: "op/version/m0", Value: []byte("m0 ###")},
		{Key: "op/version/m0", Value: []byte("m0 ##")},
		{Key: "op/version/bad", Value: []byte("nothing")},
		{Key: "op/other", Value: []byte("?")},
	})
	got := v.desiredVersions("p")
	if len(got) != 1 || got["m0"].Version != 3 {
		t.Errorf("desired %v, want m0 at version 3 alone", got)
	}
}

func TestValidateReportsEveryFault(t *testing.T) {
	err := (&Settings{ReportsUsage: true, FirstPort: 2, LastPort: 1}).Validate()
	if err == nil {
		t.Fatal("empty settings are accepted")
	}
	for _, want := range []string{"instance", "callers", "readiness", "stop", "leases", "windows", "kept", "ports"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q does not mention %s", err, want)
		}
	}
}
