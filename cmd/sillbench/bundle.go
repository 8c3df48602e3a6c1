package main

import (
	"context"
	"crypto/ed25519"
	"math"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Values of the bundle of a run.
const (
	organisationMaxConcurrent              = 1024
	routeTimeoutSeconds                    = 30
	maxBodyBytes              sillid.Bytes = 1 << 20
	maxPerZone                             = 8
	utilisation                            = 0.7
	rolloutFloor                           = 0.2
	servingFloor                           = 0.5
	publishTimeout                         = 5 * time.Second
)

// Names of the routes.
const (
	modelRoute   sillid.RouteID = "model"
	serviceRoute sillid.RouteID = "service"
)

// bundle returns the scenario's bundle, with new keys for the organisations.
func (p *product) bundle() *sillbundle.Bundle {
	s := p.scenario
	b := &sillbundle.Bundle{
		Pools: []sillbundle.Pool{
			{
				ID: s.Model.Pool, Kind: sillbundle.ModelRoute, MaxConcurrent: s.Model.Slots, MaxPerZone: maxPerZone,
				Utilisation: utilisation, RolloutFloor: rolloutFloor, ChecksFencing: s.Model.ChecksFencing,
			},
			{
				ID: s.Service.Pool, Kind: sillbundle.ServiceRoute, MaxConcurrent: s.Service.Slots,
				MaxPerZone: maxPerZone, Utilisation: utilisation,
			},
		},
		Models: []sillbundle.Model{{ID: s.Model.Model, Pool: s.Model.Pool, ServingFloor: servingFloor}},
		Routes: []sillbundle.Route{
			{
				ID: modelRoute, PathPrefix: s.Model.PathPrefix, Kind: sillbundle.ModelRoute, Pool: s.Model.Pool,
				Model: s.Model.Model, TimeoutSeconds: routeTimeoutSeconds, MaxBodyBytes: maxBodyBytes,
			},
			{
				ID: serviceRoute, PathPrefix: s.Service.PathPrefix, Kind: sillbundle.ServiceRoute, Pool: s.Service.Pool,
				TimeoutSeconds: routeTimeoutSeconds, MaxBodyBytes: maxBodyBytes,
			},
		},
	}
	for _, z := range s.Zones {
		b.Zones = append(b.Zones, sillbundle.AvailabilityZone{ID: z, Region: s.Region})
	}
	b.Organisations = p.organisations()
	for _, t := range s.Trainers {
		b.Trainers = append(b.Trainers, sillbundle.Trainer{
			ID: t.ID, Organisation: t.Organisation, Model: s.Model.Model, StalenessBound: t.StalenessBound, Weight: 1,
		})
	}
	return b
}

// organisations returns the scenario's organisations, weighted by their shares. It adds
// a new key for each to the deployment.
func (p *product) organisations() []sillbundle.Organisation {
	smallest := math.Inf(1)
	for _, o := range p.scenario.Organisations {
		smallest = min(smallest, o.Share)
	}
	var all []sillbundle.Organisation
	for _, o := range p.scenario.Organisations {
		key := sillid.Fresh("key")
		p.deployed.deployment.Keys[o.ID] = key
		all = append(all, sillbundle.Organisation{
			ID: o.ID, Weight: max(1, int(o.Share/smallest)), MaxConcurrent: organisationMaxConcurrent,
			Routes: []sillid.RouteID{modelRoute, serviceRoute},
			Keys:   []sillbundle.Key{{Label: operatorName, Hash: sillbundle.HashKey(key)}},
		})
	}
	return all
}

// publish publishes the bundle in the platform's store.
func (p *product) publish(ctx context.Context) error {
	url := p.deployed.deployment.Platform
	publisher := sillbundlestore.NewPublisher(sillbundlestore.PublisherConfig{
		Table:     silltable.Dial(silltable.Config{BaseURL: url, Timeout: publishTimeout}),
		Objects:   sillobject.Dial(sillobject.Config{BaseURL: url, Timeout: publishTimeout}),
		Operators: sillbundle.Operators{operatorName: p.operator.Public().(ed25519.PublicKey)},
		Now:       time.Now,
	})
	_, err := publisher.Accept(ctx, sillbundle.Sign(p.bundle(), 0, operatorName, p.operator))
	return err
}
