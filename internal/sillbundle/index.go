package sillbundle

import (
	"strings"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Index looks up the parts of a bundle. It is immutable and safe for concurrent use.
type Index struct {
	// Bundle is the indexed bundle. It must not be changed.
	Bundle *Bundle

	organisations map[sillid.OrganisationID]*Organisation
	keys          map[KeyHash]*Organisation
	prefixes      map[string]*Route
	routes        map[sillid.RouteID]*Route
	models        map[sillid.ModelID]*Model
	pools         map[sillid.PoolID]*Pool
	zones         map[sillid.ZoneID]*AvailabilityZone
	trainers      map[sillid.TrainerID]*Trainer
	allowed       map[grant]bool
}

// grant is a route that an organisation may use.
type grant struct {
	organisation sillid.OrganisationID
	route        sillid.RouteID
}

// NewIndex returns an index of a bundle, which must be valid.
func NewIndex(b *Bundle) *Index {
	x := &Index{
		Bundle:        b,
		organisations: indexBy(b.Organisations, func(o *Organisation) sillid.OrganisationID { return o.ID }),
		keys:          map[KeyHash]*Organisation{},
		prefixes:      indexBy(b.Routes, func(r *Route) string { return r.PathPrefix }),
		routes:        indexBy(b.Routes, func(r *Route) sillid.RouteID { return r.ID }),
		models:        indexBy(b.Models, func(m *Model) sillid.ModelID { return m.ID }),
		pools:         indexBy(b.Pools, func(p *Pool) sillid.PoolID { return p.ID }),
		zones:         indexBy(b.Zones, func(z *AvailabilityZone) sillid.ZoneID { return z.ID }),
		trainers:      indexBy(b.Trainers, func(t *Trainer) sillid.TrainerID { return t.ID }),
		allowed:       map[grant]bool{},
	}
	for i := range b.Organisations {
		x.addOrganisation(&b.Organisations[i])
	}
	return x
}

func indexBy[T any, ID comparable](list []T, id func(*T) ID) map[ID]*T {
	m := make(map[ID]*T, len(list))
	for i := range list {
		m[id(&list[i])] = &list[i]
	}
	return m
}

func (x *Index) addOrganisation(o *Organisation) {
	for _, k := range o.Keys {
		x.keys[k.Hash] = o
	}
	for _, r := range o.Routes {
		x.allowed[grant{o.ID, r}] = true
	}
}

// ByKey returns the organisation whose key has the hash, or nil.
func (x *Index) ByKey(hash KeyHash) *Organisation { return x.keys[hash] }

// Organisation returns an organisation, or nil.
func (x *Index) Organisation(id sillid.OrganisationID) *Organisation { return x.organisations[id] }

// Model returns a model, or nil.
func (x *Index) Model(id sillid.ModelID) *Model { return x.models[id] }

// Pool returns a pool, or nil.
func (x *Index) Pool(id sillid.PoolID) *Pool { return x.pools[id] }

// Zone returns an availability zone, or nil.
func (x *Index) Zone(id sillid.ZoneID) *AvailabilityZone { return x.zones[id] }

// Trainer returns a trainer, or nil.
func (x *Index) Trainer(id sillid.TrainerID) *Trainer { return x.trainers[id] }

// Route returns a route, or nil.
func (x *Index) Route(id sillid.RouteID) *Route { return x.routes[id] }

// MayUse returns whether an organisation may use a route.
func (x *Index) MayUse(organisation sillid.OrganisationID, route *Route) bool {
	return route.Open || x.allowed[grant{organisation, route.ID}]
}

// RouteByPath returns the route whose prefix is the longest match for the path, by
// complete segments, or nil. The path must not contain dot segments.
func (x *Index) RouteByPath(path string) *Route {
	for path != "" {
		if r := x.prefixes[path]; r != nil {
			return r
		}
		path = path[:max(0, strings.LastIndexByte(path, '/'))]
	}
	return nil
}
