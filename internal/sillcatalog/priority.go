package sillcatalog

import (
	"slices"

	"github.com/wasabisill/wasabisill/internal/sillschedule"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Priority returns the priority of an organisation's requests on a route: that of the
// organisation if it has one, else that of the route, else the highest. The route may be nil.
func (c *Catalog) Priority(organisation sillid.OrganisationID, route *Route) sillschedule.Priority {
	if o := c.byID[organisation]; o != nil && o.Priority != nil {
		return *o.Priority
	}
	if route != nil && route.Priority != nil {
		return *route.Priority
	}
	return 0
}

// PrioritiesDiffer returns the pools to which callers may send requests of different priorities.
// Jobs don't count: their items don't queue with requests, and the routes don't tell which pools
// their score requests are for.
func (c *Catalog) PrioritiesDiffer() map[sillid.PoolID]bool {
	priorities := make(map[sillid.PoolID][]sillschedule.Priority)
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind == Jobs {
			continue
		}
		of := c.priorities(r)
		for _, s := range r.Shares {
			if s.Weight > 0 || len(r.Shares) == 1 {
				priorities[s.Pool] = append(priorities[s.Pool], of...)
			}
		}
	}
	differ := make(map[sillid.PoolID]bool)
	for pool, list := range priorities {
		if len(list) > 0 && slices.Min(list) != slices.Max(list) {
			differ[pool] = true
		}
	}
	return differ
}

// priorities returns the priorities that requests of a route may have.
func (c *Catalog) priorities(r *Route) []sillschedule.Priority {
	if c.Open || r.Open {
		return []sillschedule.Priority{c.Priority("", r)}
	}
	var list []sillschedule.Priority
	for i := range c.Organisations {
		if p := c.Priority(c.Organisations[i].ID, r); !slices.Contains(list, p) {
			list = append(list, p)
		}
	}
	return list
}
