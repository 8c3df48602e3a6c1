// Package sillfleet is a gateway's knowledge of its targets at work: it reads
// the instance list, keeps a link to each agent of its subset and hands the
// choosers what the agents report.
//
// One goroutine owns all of it. Traffic reads a published copy and the
// choosers, which are safe for concurrent use.
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

// Config holds what a fleet needs.
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
	// InstancePoll is the time between two reads.
	InstancePoll time.Duration
	// Gateways returns the other gateways as far as they are known.
	Gateways func() []sillmembership.Gateway
	// Ping returns the content of the next heartbeat.
	Ping func() *sillwire.Ping
	// OnPong is told of every heartbeat of an agent. It must not block.
	OnPong  func(l *silllink.Link, pong *sillwire.Pong)
	Metrics *Metrics
	Log     *zap.Logger
	Now     func() time.Time
}

// tickInterval is the time between two looks at the links and choosers. A new
// list and a target whose state changes are looked at once.
const tickInterval = time.Second

// minPoolSubset is the number of agents of a pool below which its load would be
// spread too unevenly.
const minPoolSubset = 6

// eventBacklog is the number of events that wait for the fleet's goroutine.
const eventBacklog = 4096

type (
	listRead    struct{ instances []sillmembership.Instance }
	pongCame    struct{ pong *sillwire.Pong }
	pathFailed  struct{ target sillid.TargetID }
	pathWorked  struct{ target sillid.TargetID }
	targetHint  struct{ instance sillmembership.Instance }
	statusAsked struct{ answer chan []Status }
	stateAsked  struct {
		target sillid.TargetID
		answer chan sillmembership.State
	}
)

// place is a pool in an availability zone.
type place struct {
	pool sillid.PoolID
	zone sillid.ZoneID
}

// Fleet holds the gateway's links.
type Fleet struct {
	cfg       Config
	group     *sillgroup.Group
	events    chan any
	published atomic.Pointer[published]

	mu sync.Mutex
	// covered are the places whose agents are connected beyond the subset.
	covered map[place]bool

	// The fields below belong to the fleet's goroutine.
	view     *sillmembership.View
	links    map[sillid.TargetID]*silllink.Link
	choosers map[sillid.PoolID]*sillroute.Chooser
	serving  map[sillid.PoolID]int
	rooms    map[sillid.PoolID]Room
	sequence uint64
}

// New returns a fleet that works after Start.
func New(cfg Config) *Fleet {
	f := &Fleet{
		cfg:      cfg,
		events:   make(chan any, eventBacklog),
		covered:  make(map[place]bool),
		view:     sillmembership.NewView(sillmembership.Config{Gateway: cfg.Gateway, Zone: cfg.Zone, Subset: cfg.Subset}),
		links:    make(map[sillid.TargetID]*silllink.Link),
		choosers: make(map[sillid.PoolID]*sillroute.Chooser),
		serving:  make(map[sillid.PoolID]int),
		rooms:    make(map[sillid.PoolID]Room),
	}
	f.publish()
	return f
}

// Start connects and stays connected until Stop.
func (f *Fleet) Start(ctx context.Context) {
	f.group = sillgroup.New(ctx)
	f.group.Go(f.run)
	f.group.Go(f.pollList)
}

// Stop closes every link.
func (f *Fleet) Stop() {
	f.group.Stop()
}

func (f *Fleet) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-f.events:
			f.apply(e)
		case <-tick.C:
			f.reconcile(ctx)
		}
	}
}

func (f *Fleet) send(e any) {
	select {
	case f.events <- e:
	case <-f.group.Context().Done():
	}
}

func (f *Fleet) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		instances, err := f.cfg.Instances(ctx)
		if err != nil {
			f.cfg.Metrics.ListFailed.Inc()
			f.cfg.Log.Debug("could not read the instance list", zap.Error(err))
		} else {
			f.send(listRead{instances: instances})
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

func (f *Fleet) apply(e any) {
	now := f.cfg.Now()
	switch e := e.(type) {
	case listRead:
		f.view.ApplyList(now, e.instances)
		f.reconcile(f.group.Context())
	case pongCame:
		before := f.view.State(now, e.pong.Target)
		f.pong(now, e.pong)
		if f.view.State(now, e.pong.Target) != before {
			f.reconcile(f.group.Context())
		}
	case pathFailed:
		f.view.PathFailed(e.target)
	case pathWorked:
		f.view.PathSucceeded(e.target)
	case targetHint:
		f.view.Hint(now, e.instance)
	case stateAsked:
		e.answer <- f.view.State(now, e.target)
	case statusAsked:
		e.answer <- f.status(now)
	}
}

// phases maps what an agent says of itself to what the view holds of it.
var phases = map[sillwire.AgentState]sillmembership.Phase{
	sillwire.Serving:       sillmembership.PhaseServing,
	sillwire.DrainingState: sillmembership.PhaseDraining,
	sillwire.TargetDown:    sillmembership.PhaseDraining,
	sillwire.Starting:      sillmembership.PhaseDraining,
	sillwire.Swapping:      sillmembership.PhaseDraining,
}

func (f *Fleet) pong(now time.Time, p *sillwire.Pong) {
	// The connection keeps heartbeats in order, so the gateway numbers them.
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

// Cover connects to every agent of a pool in an availability zone until the
// returned function is called.
func (f *Fleet) Cover(pool sillid.PoolID, zone sillid.ZoneID) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := place{pool: pool, zone: zone}
	f.covered[p] = true
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.covered, p)
	}
}

func (f *Fleet) covers(pool sillid.PoolID, zone sillid.ZoneID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.covered[place{pool: pool, zone: zone}]
}
