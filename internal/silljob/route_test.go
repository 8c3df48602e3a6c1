package silljob

import (
	"testing"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// routeCase is an owner whose catalog lacks a job's route or has it in another pool.
type routeCase struct {
	// pool is the pool of the route in the owner's catalog; empty for no route.
	pool sillid.PoolID
	// newer is by how many versions the job's configuration is newer than the owner's; with
	// none, the job's row tells no version.
	newer int
	// revision is up to which the owner's catalog is current.
	revision silltable.Revision
	// idle is whether no engine is there, so that all items wait.
	idle bool
}

// start starts an owner with engines in pool p and a job that was accepted for that pool.
func (rc routeCase) start(t *testing.T) (*cluster, *node, *Submission) {
	t.Helper()
	c := newCluster(t, 2, completeStream)
	c.route(rc.pool)
	c.setCatalogRevision(rc.revision)
	sub := submission("job", 4)
	if rc.newer > 0 {
		sub.ConfigVersion = c.catalog.Get().Version + sillid.BundleVersion(rc.newer)
	}
	a := c.start("a")
	for _, e := range c.engines {
		if rc.idle {
			a.directory.Remove(e.ID)
		}
	}
	a.submit(t, sub)
	return c, a, sub
}

// TestOlderConfigEndsNoJob guards against an owner whose configuration is older than a job
// taking a route that it does not know yet for a removed one, or sending the job's items to
// the pool that the route had before. A job's row of an earlier build tells no version.
func TestOlderConfigEndsNoJob(t *testing.T) {
	for name, rc := range map[string]routeCase{
		"route unknown":             {newer: 2},
		"route unknown, no version": {},
		"route in another pool":     {newer: 2, pool: "before"},
		"one version newer":         {newer: 1, revision: 1},
	} {
		t.Run(name, func(t *testing.T) {
			_, a, sub := rc.start(t)
			checkComplete(t, sub, a.results(t, "job", 4), testEvents)
		})
	}
}

func checkAbandoned(t *testing.T, results []Result) {
	t.Helper()
	for _, r := range results {
		if r.Completed {
			t.Errorf("item %s of a removed route is completed", r.Item)
		}
	}
}

// TestRemovedRouteEndsJob removes the route of a job that a newer configuration had, or that
// the table has gone back from.
func TestRemovedRouteEndsJob(t *testing.T) {
	t.Run("newer version", func(t *testing.T) {
		c, a, _ := routeCase{newer: 1, idle: true}.start(t)
		c.route("")
		c.route("")
		checkAbandoned(t, a.results(t, "job", 4))
	})
	t.Run("current catalog of an older version", func(t *testing.T) {
		_, a, _ := routeCase{newer: 5, revision: 1 << 40, idle: true}.start(t)
		checkAbandoned(t, a.results(t, "job", 4))
	})
	t.Run("current catalog, no version", func(t *testing.T) {
		c, a, _ := routeCase{idle: true}.start(t)
		c.setCatalogRevision(1 << 40)
		checkAbandoned(t, a.results(t, "job", 4))
	})
}
