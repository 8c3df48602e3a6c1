package sillcatalog

import (
	"slices"

	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Homes returns the regions to which requests of an organisation on a route may be sent. The
// route may be nil.
func (c *Catalog) Homes(organisation sillid.OrganisationID, route *Route) sillhome.Homes {
	var homes sillhome.Homes
	if o := c.byID[organisation]; o != nil {
		homes = o.Homes
	}
	if route != nil {
		homes = homes.And(route.Homes)
	}
	return homes
}

// HomeRegions returns all regions that are homes of routes and organisations, sorted.
func (c *Catalog) HomeRegions() []sillid.RegionID {
	var regions []sillid.RegionID
	for i := range c.Routes {
		regions = append(regions, c.Routes[i].Homes.Regions()...)
	}
	for i := range c.Organisations {
		regions = append(regions, c.Organisations[i].Homes.Regions()...)
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}
