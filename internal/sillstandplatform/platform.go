// Package sillstandplatform stands in for the platform: the table service, the
// object store, the orders of targets, usage reports, the list of instances and
// the weight store. docs/INTERFACES.md describes its calls.
package sillstandplatform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Areas of the platform.
const (
	AreaTable     = "table"
	AreaObjects   = "objects"
	AreaOrders    = "orders"
	AreaInstances = "instances"
	AreaUsage     = "usage"
	AreaWeights   = "weights"
)

// Config holds what a platform needs. The zero Config is usable.
type Config struct {
	// TableWrites and TableReads bound the rows written and the read calls a
	// second; calls above get 503. 0 stands for no bound.
	TableWrites float64
	TableReads  float64
	// CheckFencing refuses orders with a lower fencing number than seen before.
	CheckFencing bool
	// OrderTime is the time that an order takes before it is answered.
	OrderTime time.Duration
	// StartDelay is the time from a start order to the new instance, StopDelay
	// that from a stop order until the instance is gone.
	StartDelay time.Duration
	StopDelay  time.Duration
	// InstanceLag is the age of the listed instances.
	InstanceLag time.Duration
	// OnStart makes the instance of a start order after StartDelay; it may
	// start an agent in the same process. It reports false if none comes up.
	// nil stands for the first fitting spare.
	OnStart func(Order) (Instance, bool)
	// OnStop, if not nil, is called with each instance that has stopped.
	OnStop func(sillid.InstanceID)
	// WeightBytes is the size of each weight file; 0 stands for DefaultWeightBytes.
	WeightBytes int
	// WeightReads bounds the weight files read a second; 0 stands for no bound.
	WeightReads float64
	// MaxVersion is the highest version in the weight store; 0 stands for any.
	MaxVersion sillid.WeightVersion
	// Seed seeds the faults.
	Seed uint64
}

// DefaultWeightBytes is the size of a weight file if the configuration leaves it 0.
const DefaultWeightBytes = 1024

// Platform is an http.Handler. Close ends the delayed work of orders.
type Platform struct {
	// Panel sets the faults.
	Panel *sillstandin.Panel

	cfg    Config
	router *sillstandin.Router
	group  *sillgroup.Group
	table  *sillmemtable.Table
	store  *silltable.Store

	writeLimit  *rate.Limiter
	readLimit   *rate.Limiter
	weightLimit *rate.Limiter

	mu        sync.Mutex
	counts    tableCounts
	objects   map[string][]byte
	orders    map[string]*Order
	orderLog  []*Order
	fencing   sillid.Epoch
	spares    []Instance
	instances *instanceHistory
	usage     []UsageReport
	downloads int
}

// New returns a platform with empty stores.
func New(cfg Config) *Platform {
	if cfg.WeightBytes == 0 {
		cfg.WeightBytes = DefaultWeightBytes
	}
	p := &Platform{
		cfg:         cfg,
		group:       sillgroup.New(context.Background()),
		table:       &sillmemtable.Table{},
		writeLimit:  limiter(cfg.TableWrites),
		readLimit:   limiter(cfg.TableReads),
		weightLimit: limiter(cfg.WeightReads),
		objects:     map[string][]byte{},
		orders:      map[string]*Order{},
		instances:   &instanceHistory{},
	}
	p.store = p.table.Store()
	p.Panel = sillstandin.NewPanel(sillstandin.PanelConfig{
		Areas: []string{AreaTable, AreaObjects, AreaOrders, AreaInstances, AreaUsage, AreaWeights},
		Seed:  cfg.Seed,
	})
	p.router = sillstandin.NewRouter(p.Panel)
	p.routes()
	return p
}

// limiter allows a second's worth at once, as a token bucket.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (p *Platform) routes() {
	p.router.Handle(AreaTable, http.MethodGet, "/table/row", p.serveRow)
	p.router.Handle(AreaTable, http.MethodGet, "/table/rows", p.serveRows)
	p.router.Handle(AreaTable, http.MethodPost, "/table/commit", p.serveCommit)
	p.router.Handle(AreaObjects, http.MethodPut, "/objects/{name:.+}", p.servePutObject)
	p.router.Handle(AreaObjects, http.MethodGet, "/objects/{name:.+}", p.serveGetObject)
	p.router.Handle(AreaOrders, http.MethodPost, "/orders", p.serveOrder)
	p.router.Handle(AreaOrders, http.MethodGet, "/orders/{id}", p.serveGetOrder)
	p.router.Handle(AreaInstances, http.MethodGet, "/instances", p.serveInstances)
	p.router.Handle(AreaUsage, http.MethodPost, "/usage", p.serveUsage)
	p.router.Handle(AreaWeights, http.MethodGet, "/weights/{model}/{version}", p.serveWeights)
	p.router.HandleControl(http.MethodPost, "/standin/instances", p.serveSetInstances)
	p.router.HandleControl(http.MethodPost, "/standin/limits", p.serveSetLimits)
	p.router.HandleControl(http.MethodGet, "/standin/record", p.serveRecord)
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// Close ends the delayed work of orders.
func (p *Platform) Close() {
	p.group.Stop()
}

// Store returns the table for a reader in the same process, past all faults.
func (p *Platform) Store() *silltable.Store {
	return p.store
}
