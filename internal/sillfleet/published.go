package sillfleet

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// published is the copy of the state that requests read. It is immutable.
type published struct {
	choosers map[sillid.PoolID]*sillroute.Chooser
	links    map[sillid.TargetID]*silllink.Link
	// serving is the number of targets that take work.
	serving map[sillid.PoolID]int
	loads   map[sillid.PoolID]PoolLoad
}

// PoolLoad is the load of the targets of a pool that take work.
type PoolLoad struct {
	// Slots is the number of requests that they can run at once.
	Slots int
	// Running is the number of requests that they run.
	Running int
}

func loadOf(targets []sillroute.Target) PoolLoad {
	var r PoolLoad
	for _, t := range targets {
		r.Slots += t.Load.Limit
		r.Running += t.Load.Running
	}
	return r
}

func (f *Fleet) publish() {
	f.published.Store(&published{
		choosers: maps.Clone(f.choosers),
		links:    maps.Clone(f.links),
		serving:  maps.Clone(f.serving),
		loads:    maps.Clone(f.loads),
	})
}

// Serving returns the number of the pool's targets that take work.
func (f *Fleet) Serving(pool sillid.PoolID) int {
	return f.published.Load().serving[pool]
}

// PoolLoad returns the load of the pool's targets in the subset.
func (f *Fleet) PoolLoad(pool sillid.PoolID) PoolLoad {
	return f.published.Load().loads[pool]
}

// SendHeartbeatsNow sends a heartbeat to every agent without waiting for the
// interval.
func (f *Fleet) SendHeartbeatsNow() {
	for _, l := range f.published.Load().links {
		l.SendHeartbeatNow()
	}
}

// Links returns the open links.
func (f *Fleet) Links() []*silllink.Link {
	return slices.Collect(maps.Values(f.published.Load().links))
}

// Link returns the link to a target, or nil.
func (f *Fleet) Link(target sillid.TargetID) *silllink.Link {
	return f.published.Load().links[target]
}

// Choose chooses a target for a request. It returns false if there is none.
func (f *Fleet) Choose(now time.Time, r *silldispatch.Request, exclude []sillid.TargetID) (silldispatch.Route, bool) {
	p := f.published.Load()
	chooser := p.choosers[r.Pool]
	if chooser == nil {
		return silldispatch.Route{}, false
	}
	choice, ok := chooser.Choose(now, sillroute.Request{
		Model:      r.Model,
		MinVersion: r.MinVersion,
		Prefix:     r.Prefix,
		Exclude:    exclude,
		RandomSeed: rand.Uint64(),
	})
	if !ok {
		return silldispatch.Route{}, false
	}
	link := p.links[choice.Target]
	if link == nil {
		choice.Done(now, sillroute.Inconclusive, 0)
		return silldispatch.Route{}, false
	}
	return silldispatch.Route{Choice: choice, Link: silldispatch.FromLink(link)}, true
}
