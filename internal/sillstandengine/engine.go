// Package sillstandengine stands in for a model engine.
//
// It batches continuously: one step gives each running generation one token,
// and a step takes longer the more generations run. Tokens are a function of
// the prompt, the seed, the position and the weight version, so that any answer
// can be checked (TokenAt). The record tells which version made each token.
package sillstandengine

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Areas of the engine.
const (
	areaCompletions = "completions"
	areaRequests    = "requests"
	areaOrders      = "orders"
	areaLoad        = "load"
	areaCacheEvents = "cache-events"
)

// Config holds what an engine needs.
type Config struct {
	// Model is the model served at the start; requests for others get 404.
	Model sillid.ModelID
	// Version is the weight version at the start.
	Version sillid.WeightVersion
	// Slots is the number of generations that run at once; 0 stands for DefaultSlots.
	Slots int
	// TokensPerSecond is the speed of a generation that runs alone; 0 stands for
	// DefaultTokensPerSecond.
	TokensPerSecond float64
	// Slowdown is the share by which each further running generation lengthens a step.
	Slowdown float64
	// PrefillPerStep is the number of prompt tokens read in one step; 0 stands for
	// DefaultPrefillPerStep.
	PrefillPerStep int
	// CacheBlocks is the number of blocks in the prefix cache; 0 stands for
	// DefaultCacheBlocks.
	CacheBlocks int
	// LoadLag is the age of the reported load.
	LoadLag time.Duration
	// EventLag is the delay of cache events.
	EventLag time.Duration
	// SwapTime is the duration of a weight load.
	SwapTime time.Duration
	// CheckFencing refuses orders with a lower fencing number than seen before.
	CheckFencing bool
	// Fetch reads weights from an order's URL; nil stands for HTTP.
	Fetch func(ctx context.Context, url string) error
	// Seed seeds the faults.
	Seed uint64
}

// Values of an engine whose configuration leaves them 0.
const (
	DefaultSlots           = 16
	DefaultTokensPerSecond = 100
	DefaultPrefillPerStep  = 512
	DefaultCacheBlocks     = 1024
)

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.TokensPerSecond == 0 {
		c.TokensPerSecond = DefaultTokensPerSecond
	}
	if c.PrefillPerStep == 0 {
		c.PrefillPerStep = DefaultPrefillPerStep
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = DefaultCacheBlocks
	}
	if c.Fetch == nil {
		c.Fetch = fetchHTTP
	}
	return c
}

// Engine is an http.Handler that generates tokens. Close ends it.
type Engine struct {
	// Panel sets the faults.
	Panel *sillstandin.Panel

	cfg    Config
	router *sillstandin.Router
	group  *sillgroup.Group
	// wake holds at most one signal that work arrived.
	wake chan struct{}
	// orderMu is held while an order runs.
	orderMu sync.Mutex

	mu      sync.Mutex
	id      sillid.EngineID
	model   sillid.ModelID
	version sillid.WeightVersion
	role    string
	fencing sillid.Epoch
	waiting []*generation
	running []*generation
	// byID holds the last generation of each request id that waits or runs.
	byID     map[sillid.RequestID]*generation
	imported map[sillid.RequestID]kvState
	cache    *prefixCache
	load     *loadHistory
	runs     []*Run
	arrivals int
	crashes  int
}

// New returns an engine that generates until Close.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:     cfg,
		group:   sillgroup.New(context.Background()),
		wake:    make(chan struct{}, 1),
		model:   cfg.Model,
		version: cfg.Version,
		load:    &loadHistory{},
	}
	e.reset()
	e.Panel = sillstandin.NewPanel(sillstandin.PanelConfig{
		Areas:   []string{areaCompletions, areaRequests, areaOrders, areaLoad, areaCacheEvents},
		Seed:    cfg.Seed,
		OnCrash: e.crash,
	})
	e.router = sillstandin.NewRouter(e.Panel)
	e.routes()
	e.group.Go(e.loop)
	return e
}

func (e *Engine) routes() {
	e.router.Handle(areaCompletions, http.MethodPost, "/v1/completions", e.serveText)
	e.router.Handle(areaCompletions, http.MethodPost, "/v1/chat/completions", e.serveChat)
	e.router.Handle(areaRequests, http.MethodPost, "/v1/requests/{id}/cancel", e.serveCancel)
	e.router.Handle(areaRequests, http.MethodPost, "/v1/requests/{id}/export", e.serveExport)
	e.router.Handle(areaRequests, http.MethodPost, "/v1/kv/import", e.serveImport)
	e.router.Handle(areaOrders, http.MethodPost, "/v1/orders", e.serveOrder)
	e.router.Handle(areaLoad, http.MethodGet, "/v1/load", e.serveLoad)
	e.router.Handle(areaCacheEvents, http.MethodGet, "/v1/cache-events", e.serveCacheEvents)
	e.router.HandleControl(http.MethodPost, "/standin/crash", e.Panel.ServeCrash)
	e.router.HandleControl(http.MethodGet, "/standin/record", e.serveRecord)
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.router.ServeHTTP(w, r)
}

// Close ends all generations and waits for them.
func (e *Engine) Close() {
	e.group.Stop()
}

// ID returns the id of the engine's current run.
func (e *Engine) ID() sillid.EngineID {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

// reset gives the engine a fresh id and empty memory. The caller holds mu or
// is alone with the engine.
func (e *Engine) reset() {
	e.id = sillid.EngineID(sillid.Fresh("engine"))
	e.waiting = nil
	e.running = nil
	e.byID = map[sillid.RequestID]*generation{}
	e.imported = map[sillid.RequestID]kvState{}
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
}

// crash loses all that the engine held in memory. It keeps the weights, as an
// engine that starts again loads what it was started with last, but no fencing
// number.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range slices.Concat(e.waiting, e.running) {
		g.end(false, "crash")
	}
	e.crashes++
	e.fencing = 0
	e.reset()
}
