package silldev

import (
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// organisations of the deployment, with their weights.
var organisations = []struct {
	id     sillid.OrganisationID
	weight int
}{
	{"riverside-hall", 4},
	{"mesa-lounge", 2},
	{"plum-creek", 1},
}

const (
	// maxConcurrent bounds the running requests of an organisation.
	maxConcurrent = 256
	// targetConcurrent bounds the running requests of a target.
	targetConcurrent = 16
	// routeTimeout bounds a request, in seconds.
	routeTimeout = 60
	// maxBody bounds the body of a request.
	maxBody sillid.Bytes = 1 << 20
	// stalenessBound is the number of versions that a sample may lag.
	stalenessBound = 2
)

// Zone is the deployment's only availability zone.
const Zone sillid.ZoneID = "tx-central-a"

// bundle returns the deployment's bundle and makes the organisations' keys.
func (d *Deployment) bundle() *sillbundle.Bundle {
	b := &sillbundle.Bundle{
		Zones: []sillbundle.AvailabilityZone{{ID: Zone, Region: "tx-central"}},
		Pools: []sillbundle.Pool{
			{ID: modelPool, Kind: sillbundle.ModelRoute, MaxConcurrent: targetConcurrent, MinPerZone: 1, MaxPerZone: 8, Utilisation: 0.7, RolloutFloor: 0.2},
			{ID: servicePool, Kind: sillbundle.ServiceRoute, MaxConcurrent: targetConcurrent, MinPerZone: 1, MaxPerZone: 8, Utilisation: 0.7},
		},
		Models: []sillbundle.Model{{ID: Model, Pool: modelPool, ServingFloor: 0.5}},
		Routes: []sillbundle.Route{
			{ID: "cue", PathPrefix: ModelRoute, Kind: sillbundle.ModelRoute, Pool: modelPool, Model: Model, TimeoutSeconds: routeTimeout, MaxBodyBytes: maxBody},
			{ID: "slots", PathPrefix: ServiceRoute, Kind: sillbundle.ServiceRoute, Pool: servicePool, TimeoutSeconds: routeTimeout, MaxBodyBytes: maxBody},
		},
		Trainers: []sillbundle.Trainer{
			{ID: Trainer, Organisation: organisations[0].id, Model: Model, StalenessBound: stalenessBound, Weight: 1},
		},
	}
	for _, o := range organisations {
		key := sillid.Fresh("key")
		d.Keys[o.id] = key
		b.Organisations = append(b.Organisations, sillbundle.Organisation{
			ID:            o.id,
			Weight:        o.weight,
			MaxConcurrent: maxConcurrent,
			Routes:        []sillid.RouteID{"cue", "slots"},
			Keys:          []sillbundle.Key{{Label: "dev", Hash: sillbundle.HashKey(key)}},
		})
	}
	return b
}
