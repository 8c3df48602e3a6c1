// Package sillcatalog holds the routes, pools and keys that a gateway without
// agents serves, as one immutable version.
package sillcatalog

import (
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Kind tells what may be done with the requests of a route.
type Kind string

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// AtMostOnce is for requests that run at most once for each attempt of the caller.
	AtMostOnce Kind = "once"
	// Stream is for answers that are series of events.
	Stream Kind = "stream"
	// Jobs is for batch jobs, whose items run later.
	Jobs Kind = "jobs"
)

// Route maps the requests of a host and a path prefix to pools.
type Route struct {
	ID   sillid.RouteID
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares has at least one pool.
	Shares []Share
	// Timeout bounds a request from its arrival to its answer.
	Timeout time.Duration
	// LatencyObjective is the latency that callers wish for; for jobs that of the acceptance.
	LatencyObjective time.Duration
	// Attempts is the number of targets that one request may be sent to; at least 1.
	Attempts int
	// Open routes need no key.
	Open bool
	// SingleVersion routes take only samples made by one weight version.
	SingleVersion bool
	// AbandonAfter is how long after its submission an item of a job may be given up.
	AbandonAfter time.Duration
}

// Share is the part of a route's requests that a pool serves.
type Share struct {
	Pool   sillid.PoolID
	Weight float64
}

// Organisation is a customer with its keys.
type Organisation struct {
	ID   sillid.OrganisationID
	Keys []string
}

// Model is a model that the targets of a pool serve.
type Model struct {
	ID   sillid.ModelID
	Pool sillid.PoolID
}

// Scaling lets the number of a pool's targets follow their load.
type Scaling struct {
	Pool sillid.PoolID
	// Min and Max bound the number in each availability zone.
	Min int
	Max int
	// Boot is how long a target takes to start.
	Boot time.Duration
}

// Limits bound what callers may send.
type Limits struct {
	// BodyBytes bounds the body of a request; 0 for no bound.
	BodyBytes int64
}

// Catalog is one version of the configuration. It never changes.
type Catalog struct {
	Version       sillid.BundleVersion
	Routes        []Route
	Organisations []Organisation
	// Open is whether requests need no key, as there are no organisations.
	Open     bool
	Models   []Model
	Scalings []Scaling
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Organisation
}

// Index prepares a catalog for look-ups and returns it.
func (c *Catalog) Index() *Catalog {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	c.byKey = make(map[string]*Organisation)
	for i := range c.Organisations {
		for _, k := range c.Organisations[i].Keys {
			c.byKey[k] = &c.Organisations[i]
		}
	}
	return c
}

// Route returns the route of a host with the longest prefix of the path, or nil.
func (c *Catalog) Route(host, path string) *Route {
	var best *Route
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// ByKey returns the organisation that holds a key, or nil.
func (c *Catalog) ByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return c.byKey[key]
}

// RouteByID returns a route, or nil.
func (c *Catalog) RouteByID(id sillid.RouteID) *Route {
	for i := range c.Routes {
		if c.Routes[i].ID == id {
			return &c.Routes[i]
		}
	}
	return nil
}

// PickPool picks the pool of a request: draw is from 0 to below 1.
func (r *Route) PickPool(draw float64) sillid.PoolID {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	left := draw * total
	for _, s := range r.Shares {
		left -= s.Weight
		if left < 0 {
			return s.Pool
		}
	}
	return r.Shares[len(r.Shares)-1].Pool
}

// UsesPool returns whether the route may send requests to a pool.
func (r *Route) UsesPool(pool sillid.PoolID) bool {
	for _, s := range r.Shares {
		if s.Pool == pool && s.Weight > 0 {
			return true
		}
	}
	return false
}
