package sillcatalog

import (
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
