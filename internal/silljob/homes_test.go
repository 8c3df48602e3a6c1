package silljob

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var home = sillhome.New([]sillid.RegionID{"home"})

// setHomes gives the job route and the organisation homes.
func (c *cluster) setHomes(route, organisation sillhome.Homes) {
	held := c.catalog.Get()
	next := &sillcatalog.Catalog{Version: held.Version + 1, Organisations: []sillcatalog.Organisation{{ID: "org", Homes: organisation}}}
	next.Routes = append(next.Routes, held.Routes...)
	next.Routes[1].Homes = route
	c.catalog.UpdateIfNewer(next.Index())
}

// put moves an engine to a zone, whose region has the same name.
func (c *cluster) put(n *node, engine int, zone sillid.ZoneID) {
	e := c.engines[engine].Entry("p", 2, versions{testModel: 1})
	e.Zone = zone
	n.directory.Apply(e)
}

// TestItemsStayAtHome guards against an item that is sent to an engine outside the home regions
// of its route or organisation, also by an owner whose configuration is older than the job.
func TestItemsStayAtHome(t *testing.T) {
	for name, prepare := range map[string]func(c *cluster, sub *Submission){
		"route":        func(c *cluster, _ *Submission) { c.setHomes(home, "") },
		"organisation": func(c *cluster, _ *Submission) { c.setHomes("", home) },
		"older configuration": func(c *cluster, sub *Submission) {
			c.setCatalogRevision(0)
			sub.ConfigVersion, sub.Homes = c.catalog.Get().Version+1, home
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, completeStream)
			sub := submission("job", 12)
			for i := range sub.Items {
				// The scorer has no region.
				sub.Items[i].ScoreRequest = nil
			}
			prepare(c, sub)
			a := c.start("a")
			c.put(a, 0, "home")
			c.put(a, 1, "away")
			a.submit(t, sub)
			a.results(t, "job", 12)
			if n := len(c.engines[1].Calls()); n > 0 || len(c.engines[0].Calls()) < 12 {
				t.Errorf("%d items reached an engine outside their home regions", n)
			}
		})
	}
}

// TestScoresStayAtHome guards against a score request that is sent outside the home regions of
// the job's organisation.
func TestScoresStayAtHome(t *testing.T) {
	c := newCluster(t, 1, completeStream)
	c.setHomes("", home)
	a := c.start("a")
	c.put(a, 0, "home")
	a.submit(t, submission("job", 2))
	eventually(t, "the items are generated", func() bool { return len(c.engines[0].Calls()) >= 2 })
	time.Sleep(300 * time.Millisecond)
	if n := len(c.scorer.Calls()); n > 0 {
		t.Errorf("%d score requests reached a scorer outside their home regions", n)
	}
	e := c.scorer.Entry("scorers", 8, nil)
	e.Zone = "home"
	a.directory.Apply(e)
	a.results(t, "job", 2)
}

// TestOwnersAreChosenByHomes checks that the homes of a job and the region in which it was
// accepted decide on its owner, at its acceptance and after its owner has died.
func TestOwnersAreChosenByHomes(t *testing.T) {
	c := newCluster(t, 1, func(int, call, int) behaviour {
		return behaviour{Events: testEvents, Delay: 50 * time.Millisecond, Version: 1}
	})
	a := c.start("a")
	c.put(a, 0, "home")
	a.runner.cfg.Region = "near"
	var asked atomic.Pointer[Placement]
	a.runner.cfg.Owner = func(p Placement) GatewayRun {
		asked.Store(&p)
		return "a"
	}
	sub := submission("job", 2)
	sub.Homes = home
	a.submit(t, sub)
	want := Placement{Model: testModel, Homes: home, AcceptedIn: "near"}
	if p := asked.Load(); *p != want {
		t.Errorf("placement %+v, want %+v", *p, want)
	}
	a.group.Stop()
	held, err := c.store.State(t.Context(), "job")
	if err != nil || held.placement() != want {
		t.Errorf("state %+v, %v", held, err)
	}
	if p := held.placement(); !p.Allows("home") || !p.Allows("near") || p.Allows("away") || p.Allows("") {
		t.Errorf("placement %+v", p)
	}
	var ranked atomic.Pointer[Placement]
	c.takeoverRank = func(p Placement) (int, bool) {
		ranked.Store(&p)
		return 0, false
	}
	c.start("b")
	eventually(t, "the rank is asked for", func() bool { return ranked.Load() != nil })
	if p := ranked.Load(); *p != want {
		t.Errorf("placement %+v, want %+v", *p, want)
	}
}

// TestBodiesAreKeptInRegion guards against bodies of a job with homes that gateways of other
// regions pass on, when it is accepted,
// loaded, read and deleted.
func TestBodiesAreKeptInRegion(t *testing.T) {
	for name, homes := range map[string]sillhome.Homes{"no homes": "", "homes": home} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 0, completeStream)
			table, feed := *c.store.Table, *c.store.Feed
			var kept, free atomic.Int32
			count := func(ctx context.Context, key string) {
				switch {
				case len(key) < len(ContentTable) || key[:len(ContentTable)] != ContentTable:
				case silltable.IsKeptInRegion(ctx):
					kept.Add(1)
				default:
					free.Add(1)
				}
			}
			c.store.Table.Commit = func(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
				for _, w := range txn.Writes {
					count(ctx, w.Key)
				}
				return table.Commit(ctx, txn)
			}
			c.store.Feed.ReadPage = func(ctx context.Context, r silltable.Range) (silltable.RangePage, error) {
				count(ctx, r.Table)
				return feed.ReadPage(ctx, r)
			}
			a := c.start("a")
			sub := submission("job", 4)
			sub.Homes = homes
			a.submit(t, sub)
			written := kept.Load() + free.Load()
			a.group.Stop()
			b := c.start("b")
			eventually(t, "the job is loaded", func() bool {
				b.runner.mu.Lock()
				defer b.runner.mu.Unlock()
				j := b.runner.jobs["job"]
				return j != nil && len(j.items) == 4
			})
			loaded := kept.Load() + free.Load()
			if _, err := b.reader.Body(t.Context(), "job", "org", sub.Items[1].ID); err != nil && !errors.Is(err, ErrNoItem) {
				t.Fatal(err)
			}
			read := kept.Load() + free.Load()
			held, err := c.store.End(t.Context(), "job", "org")
			if err != nil {
				t.Fatal(err)
			}
			r := newRetention(c.store)
			r.Board.UpdateIfNewer("job", held)
			r.deleteExpired(t.Context(), time.Now().Add(time.Hour))
			deleted := kept.Load() + free.Load()
			if written == 0 || loaded <= written || read <= loaded || deleted <= read {
				t.Errorf("%d calls with bodies at the acceptance, %d with the load, %d with the read, %d with the deletion", written, loaded, read, deleted)
			}
			if wrong := map[bool]int32{true: free.Load(), false: kept.Load()}[homes.Restricted()]; wrong > 0 {
				t.Errorf("%d calls with bodies kept in the region, %d not", kept.Load(), free.Load())
			}
		})
	}
}
