// Package sillfleet keeps a gateway's view of its targets: it reads the instance
// list, keeps a link to each agent of the gateway's subset and updates the choosers
// with what the agents report.
//
// One goroutine owns the state. Requests read a published copy and the choosers,
// which are safe for concurrent use.
package sillfleet

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Config configures a fleet.
type Config struct {
	Gateway sillid.GatewayID
	Zone    sillid.ZoneID
	// Subset is the number of agents to connect to. The pools share it evenly,
	// but each gets at least minPoolSubset.
	Subset int
	// TLS holds the gateway's certificate and the agents' authority.
	TLS *tls.Config
	// Instances reads the platform's instance list.
	Instances func(ctx context.Context) ([]sillmembership.Instance, error)
	// InstancePoll is the time between two reads of the instance list.
	InstancePoll time.Duration
	// Gateways returns the other gateways that are known.
	Gateways func() []sillmembership.Gateway
	// Ping returns the content of the next heartbeat.
	Ping func() *sillwire.Ping
	// OnPong is called with every heartbeat of an agent. It must not block.
	OnPong  func(l *silllink.Link, pong *sillwire.Pong)
	Metrics *Metrics
	Log     *zap.Logger
	Now     func() time.Time
}

// reconcileInterval is the time between two updates of the links and choosers. A new
// instance list or a change of a target's state updates them at once.
const reconcileInterval = time.Second

// minPoolSubset is the number of agents of a pool below which its load would be
// spread too unevenly.
const minPoolSubset = 6

// eventQueueLength is the number of events that can wait for the fleet's goroutine.
const eventQueueLength = 4096

type (
	listRead        struct{ instances []sillmembership.Instance }
	pongReceived    struct{ pong *sillwire.Pong }
	pathFailed      struct{ target sillid.TargetID }
	pathSucceeded   struct{ target sillid.TargetID }
	targetHint      struct{ instance sillmembership.Instance }
	statusRequested struct{ response chan []Status }
	stateRequested  struct {
		target   sillid.TargetID
		response chan sillmembership.State
	}
)

// poolZone is a pool in an availability zone.
type poolZone struct {
	pool sillid.PoolID
	zone sillid.ZoneID
}

// Fleet holds the gateway's links to agents and the choosers of its pools.
type Fleet struct {
	cfg       Config
	group     *sillgroup.Group
	events    chan any
	published atomic.Pointer[published]

	mu sync.Mutex
	// fullZones are the pools and zones of which all agents are connected, also
	// those outside the subset.
	fullZones map[poolZone]bool

	// The fields below belong to the fleet's goroutine.
	view     *sillmembership.View
	links    map[sillid.TargetID]*silllink.Link
	choosers map[sillid.PoolID]*sillroute.Chooser
	serving  map[sillid.PoolID]int
	loads    map[sillid.PoolID]PoolLoad
	sequence uint64
}

// New returns a fleet that does nothing before Start.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:       cfg,
		events:    make(chan any, eventQueueLength),
		fullZones: make(map[poolZone]bool),
		view:      sillmembership.NewView(sillmembership.Config{Gateway: cfg.Gateway, Zone: cfg.Zone, Subset: cfg.Subset}),
		links:     make(map[sillid.TargetID]*silllink.Link),
		choosers:  make(map[sillid.PoolID]*sillroute.Chooser),
		serving:   make(map[sillid.PoolID]int),
		loads:     make(map[sillid.PoolID]PoolLoad),
	}
	f.publish()
	return f
}

// Start connects to the agents and keeps the links until Stop.
func (f *Fleet) Start(ctx context.Context) {
	f.group = sillgroup.New(ctx)
	f.group.Go(f.run)
	f.group.Go(f.pollInstances)
}

// Stop closes every link.
func (f *Fleet) Stop() {
	f.group.Stop()
}

func (f *Fleet) run(ctx context.Context) {
	sillgroup.Loop(ctx, f.events, reconcileInterval, f.handleEvent, func() { f.reconcile(ctx) })
}

func (f *Fleet) enqueue(e any) {
	sillgroup.Send(f.group.Context(), f.events, e)
}

func (f *Fleet) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		instances, err := f.cfg.Instances(ctx)
		if err != nil {
			f.cfg.Metrics.ListFailures.Inc()
			f.cfg.Log.Debug("could not read the instance list", zap.Error(err))
		} else {
			f.enqueue(listRead{instances: instances})
		}
		wait := f.cfg.InstancePoll
		if err != nil {
			wait = min(wait, time.Second)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (f *Fleet) handleEvent(e any) {
	now := f.cfg.Now()
	switch e := e.(type) {
	case listRead:
		f.view.ApplyList(now, e.instances)
		f.reconcile(f.group.Context())
	case pongReceived:
		before := f.view.State(now, e.pong.Target)
		f.handlePong(now, e.pong)
		if f.view.State(now, e.pong.Target) != before {
			f.reconcile(f.group.Context())
		}
	case pathFailed:
		f.view.PathFailed(e.target)
	case pathSucceeded:
		f.view.PathSucceeded(e.target)
	case targetHint:
		f.view.Hint(now, e.instance)
	case stateRequested:
		e.response <- f.view.State(now, e.target)
	case statusRequested:
		e.response <- f.status(now)
	}
}

// phases maps an agent's reported state to the phase that the view keeps.
var phases = map[sillwire.AgentState]sillmembership.Phase{
	sillwire.Serving:       sillmembership.PhaseServing,
	sillwire.DrainingState: sillmembership.PhaseDraining,
	sillwire.TargetDown:    sillmembership.PhaseDraining,
	sillwire.Starting:      sillmembership.PhaseDraining,
	sillwire.Swapping:      sillmembership.PhaseDraining,
}

func (f *Fleet) handlePong(now time.Time, p *sillwire.Pong) {
	// A connection delivers heartbeats in order, so the gateway can number them itself.
	f.sequence++
	h := sillmembership.Heartbeat{
		Instance: sillmembership.Instance{ID: p.Instance, Target: p.Target, Pool: p.Pool, Zone: p.Zone},
		Agent:    p.Agent,
		Sequence: f.sequence,
		Phase:    phases[p.State],
		Load: sillroute.Load{
			Running:         p.Running,
			Waiting:         p.Queued,
			Limit:           p.Limit,
			MeanServiceTime: time.Duration(p.ServiceMillis) * time.Millisecond,
			Sequence:        f.sequence,
		},
	}
	if l := f.links[p.Target]; l != nil {
		h.Instance.Address = l.Address()
	}
	for _, m := range p.Models {
		h.Loaded = append(h.Loaded, sillroute.LoadedModel{Model: m.Model, Version: m.Version})
	}
	f.view.Heartbeat(now, h)
}

// ConnectAll connects to all agents of a pool in an availability zone, also those
// outside the subset, until the returned function is called.
func (f *Fleet) ConnectAll(pool sillid.PoolID, zone sillid.ZoneID) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := poolZone{pool: pool, zone: zone}
	f.fullZones[p] = true
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.fullZones, p)
	}
}

func (f *Fleet) connectsAll(pool sillid.PoolID, zone sillid.ZoneID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fullZones[poolZone{pool: pool, zone: zone}]
}
