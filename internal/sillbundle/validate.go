package sillbundle

import (
	"fmt"
	"regexp"
	"strings"
)

// Fault is one violated rule in a bundle.
type Fault struct {
	// Path is the location of the fault, as in "organisations[2].keys[0].hash".
	Path string `json:"path"`
	// Problem describes the fault.
	Problem string `json:"problem"`
	// Remedy describes how to correct it.
	Remedy string `json:"remedy"`
}

// InvalidError is returned for a bundle that violates rules.
type InvalidError struct {
	// Faults lists every fault and is not empty.
	Faults []Fault
}

// Error returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("%s: %s: %s", f.Path, f.Problem, f.Remedy)
	}
	return strings.Join(lines, "\n")
}

// ReservedPrefixes are the path prefixes that the gateway serves itself; routes
// must not use them.
var ReservedPrefixes = []string{"/v1/rollouts", "/v1/weights"}

var (
	idPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	pathPattern = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)
)

type validator struct {
	bundle *Bundle
	faults []Fault
	pools  map[string]*Pool
	models map[string]*Model
	routes map[string]*Route
	hashes map[KeyHash]string
}

// Validate returns an *InvalidError with every fault of the bundle, or nil.
func (b *Bundle) Validate() error {
	v := &validator{
		bundle: b,
		pools:  byID(b.Pools, func(p *Pool) string { return string(p.ID) }),
		models: byID(b.Models, func(m *Model) string { return string(m.ID) }),
		routes: byID(b.Routes, func(r *Route) string { return string(r.ID) }),
		hashes: map[KeyHash]string{},
	}
	v.checkOrganisations()
	v.checkRoutes()
	v.checkModels()
	v.checkPools()
	v.checkZones()
	v.checkTrainers()
	if len(v.faults) > 0 {
		return &InvalidError{Faults: v.faults}
	}
	return nil
}

func byID[T any](list []T, id func(*T) string) map[string]*T {
	m := make(map[string]*T, len(list))
	for i := range list {
		m[id(&list[i])] = &list[i]
	}
	return m
}

// require adds a fault unless ok.
func (v *validator) require(ok bool, path, problem, remedy string) {
	if !ok {
		v.faults = append(v.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
	}
}

func (v *validator) requireAtLeast(value, least int64, path string) {
	v.require(value >= least, path, fmt.Sprintf("%d is too small", value), fmt.Sprintf("set at least %d", least))
}

func (v *validator) requireInRange(ok bool, value float64, path, bounds string) {
	v.require(ok, path, fmt.Sprintf("%v is out of bounds", value), "set a value "+bounds)
}

// firstPaths maps the values found in a list to the path of their first occurrence.
type firstPaths map[string]string

func (v *validator) checkID(seen firstPaths, id, path string) {
	v.require(idPattern.MatchString(id), path, fmt.Sprintf("%q is no identifier", id),
		"use 1 to 63 lower-case letters, digits, dots and hyphens")
	v.requireUnique(seen, id, path)
}

func (v *validator) requireUnique(seen firstPaths, value, path string) {
	first, twice := seen[value]
	v.require(!twice, path, fmt.Sprintf("%q stands at %s already", value, first), "remove one of them")
	if !twice {
		seen[value] = path
	}
}

func (v *validator) requireKnown(ok bool, what, id, path string) {
	v.require(ok, path, fmt.Sprintf("there is no %s %q", what, id), "add it to the bundle or correct the name")
}

func (v *validator) checkKind(k RouteKind, path string) {
	v.require(k == ModelRoute || k == ServiceRoute, path, fmt.Sprintf("%q is no kind", k), `use "model" or "service"`)
}

func (v *validator) checkOrganisations() {
	seen := firstPaths{}
	for i, o := range v.bundle.Organisations {
		path := fmt.Sprintf("organisations[%d]", i)
		v.checkID(seen, string(o.ID), path+".id")
		v.requireAtLeast(int64(o.Weight), 1, path+".weight")
		v.requireAtLeast(int64(o.MaxConcurrent), 1, path+".max-concurrent")
		routes := firstPaths{}
		for j, r := range o.Routes {
			at := fmt.Sprintf("%s.routes[%d]", path, j)
			v.requireKnown(v.routes[string(r)] != nil, "route", string(r), at)
			v.requireUnique(routes, string(r), at)
		}
		v.checkKeys(o, path)
	}
}

func (v *validator) checkKeys(o Organisation, path string) {
	labels := firstPaths{}
	for i, k := range o.Keys {
		at := fmt.Sprintf("%s.keys[%d]", path, i)
		v.checkID(labels, k.Label, at+".label")
		v.require(hashPattern.MatchString(string(k.Hash)), at+".hash", "this is no SHA-256 in hexadecimal digits",
			"put the hash that 'wasabisill bundle key new' prints")
		first, twice := v.hashes[k.Hash]
		v.require(!twice, at+".hash", "the key stands at "+first+" already", "give each organisation keys of its own")
		v.hashes[k.Hash] = at
	}
}

func (v *validator) checkRoutes() {
	ids, prefixes := firstPaths{}, firstPaths{}
	for i, r := range v.bundle.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		v.checkID(ids, string(r.ID), path+".id")
		v.checkPathPrefix(prefixes, r.PathPrefix, path+".path-prefix")
		v.checkKind(r.Kind, path+".kind")
		pool := v.pools[string(r.Pool)]
		v.requireKnown(pool != nil, "pool", string(r.Pool), path+".pool")
		v.require(pool == nil || pool.Kind == r.Kind, path+".pool", "the pool is of another kind", "name a pool of the route's kind")
		v.checkRouteModel(r, path+".model")
		v.requireAtLeast(int64(r.TimeoutSeconds), 1, path+".timeout-seconds")
		v.requireAtLeast(int64(r.MaxBodyBytes), 1, path+".max-body-bytes")
	}
}

func (v *validator) checkPathPrefix(seen firstPaths, prefix, path string) {
	v.require(pathPattern.MatchString(prefix), path, fmt.Sprintf("%q is no path prefix", prefix),
		`write "/" and a segment, once or more, without a "/" at the end`)
	for _, segment := range strings.Split(prefix, "/") {
		v.require(segment != "." && segment != "..", path, "the prefix has a dot segment", "remove it")
	}
	for _, reserved := range ReservedPrefixes {
		v.require(prefix != reserved && !strings.HasPrefix(prefix, reserved+"/"), path,
			"the gateway serves "+reserved+" itself", "choose another prefix")
	}
	v.requireUnique(seen, prefix, path)
}

func (v *validator) checkRouteModel(r Route, path string) {
	if r.Kind != ModelRoute {
		v.require(r.Model == "", path, "the route's kind has no model", "remove the model")
		return
	}
	model := v.models[string(r.Model)]
	v.requireKnown(model != nil, "model", string(r.Model), path)
	v.require(model == nil || model.Pool == r.Pool, path, "the model is served by another pool", "name the model's pool")
}

func (v *validator) checkModels() {
	seen := firstPaths{}
	for i, m := range v.bundle.Models {
		path := fmt.Sprintf("models[%d]", i)
		v.checkID(seen, string(m.ID), path+".id")
		pool := v.pools[string(m.Pool)]
		v.requireKnown(pool != nil, "pool", string(m.Pool), path+".pool")
		v.require(pool == nil || pool.Kind == ModelRoute, path+".pool", "the pool serves no models", `name a pool of the kind "model"`)
		v.requireInRange(m.ServingFloor >= 0 && m.ServingFloor < 1, m.ServingFloor, path+".serving-floor", "from 0 to below 1")
	}
}

func (v *validator) checkPools() {
	seen := firstPaths{}
	for i, p := range v.bundle.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		v.checkID(seen, string(p.ID), path+".id")
		v.checkKind(p.Kind, path+".kind")
		v.requireAtLeast(int64(p.MaxConcurrent), 1, path+".max-concurrent")
		v.requireAtLeast(int64(p.MinPerZone), 0, path+".min-per-zone")
		v.requireAtLeast(int64(p.MaxPerZone), int64(max(1, p.MinPerZone)), path+".max-per-zone")
		v.requireInRange(p.Utilisation > 0 && p.Utilisation <= 1, p.Utilisation, path+".utilisation", "above 0, at most 1")
		v.requireInRange(p.RolloutFloor >= 0 && p.RolloutFloor <= 0.5, p.RolloutFloor, path+".rollout-floor", "from 0 to 0.5")
	}
}

func (v *validator) checkZones() {
	seen := firstPaths{}
	for i, z := range v.bundle.Zones {
		path := fmt.Sprintf("availability-zones[%d]", i)
		v.checkID(seen, string(z.ID), path+".id")
		v.checkID(firstPaths{}, string(z.Region), path+".region")
	}
}

func (v *validator) checkTrainers() {
	organisations := byID(v.bundle.Organisations, func(o *Organisation) string { return string(o.ID) })
	seen := firstPaths{}
	for i, t := range v.bundle.Trainers {
		path := fmt.Sprintf("trainers[%d]", i)
		v.checkID(seen, string(t.ID), path+".id")
		v.requireKnown(organisations[string(t.Organisation)] != nil, "organisation", string(t.Organisation), path+".organisation")
		v.requireKnown(v.models[string(t.Model)] != nil, "model", string(t.Model), path+".model")
		v.requireAtLeast(int64(t.StalenessBound), 0, path+".staleness-bound")
		v.requireAtLeast(int64(t.Weight), 1, path+".weight")
	}
}
