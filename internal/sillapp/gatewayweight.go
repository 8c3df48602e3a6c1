package sillapp

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillfleet"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/sillweight"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// planPoll is the mean time between two reads of the models' plans.
	planPoll = 2 * time.Second
	// goneInterval is the time between two looks for ended targets.
	goneInterval = time.Second
	// goneSilence is the silence after which a target counts as ended.
	goneSilence = sillwire.SilenceLimit
	// pushLimit bounds the transfer of a plan.
	pushLimit = 5 * time.Second
)

// plans spreads the models' weight plans to the agents of the subset.
type plans struct {
	table   *silltable.Store
	config  *sillbundlestore.Service
	metrics *planMetrics
	log     *zap.Logger
	gone    atomic.Pointer[[]sillid.TargetID]
	// published wakes the spread of a plan that this gateway published.
	published chan struct{}

	mu    sync.Mutex
	known map[sillid.ModelID]knownPlan
	// busy are the links on which a plan is under way.
	busy map[*silllink.Link]bool
}

// knownPlan is a plan as it is sent.
type knownPlan struct {
	version sillid.WeightVersion
	pool    sillid.PoolID
	message *sillwire.WeightPlan
}

// planMetrics are the counters of the spread of plans.
type planMetrics struct {
	pushed, pushFailed, readFailed prometheus.Counter
}

func newPlanMetrics(r prometheus.Registerer) *planMetrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	m := &planMetrics{
		pushed:     counter("wasabisill_gateway_weight_plans_pushed_total", "Weight plans that were sent to agents."),
		pushFailed: counter("wasabisill_gateway_weight_plan_push_failures_total", "Weight plans that did not reach an agent; they are sent again."),
		readFailed: counter("wasabisill_gateway_weight_plan_read_failures_total", "Failed reads of a model's weight plan."),
	}
	r.MustRegister(m.pushed, m.pushFailed, m.readFailed)
	return m
}

func newPlans(t *silltable.Store, c *sillbundlestore.Service, m *planMetrics, log *zap.Logger) *plans {
	return &plans{
		table:     t,
		config:    c,
		metrics:   m,
		log:       log.Named("weights"),
		published: make(chan struct{}, 1),
		known:     make(map[sillid.ModelID]knownPlan),
		busy:      make(map[*silllink.Link]bool),
	}
}

func startPlans(lc fx.Lifecycle, b background, p *plans, f *sillfleet.Fleet) {
	lc.Append(fx.StartHook(func() {
		b.Go(func(ctx context.Context) { p.follow(ctx, b.Group, f) })
		b.Go(func(ctx context.Context) { p.watchGone(ctx, f) })
	}))
}

// follow reads the plans of the bundle's models again and again.
func (p *plans) follow(ctx context.Context, g *sillgroup.Group, f *sillfleet.Fleet) {
	for ctx.Err() == nil {
		for _, m := range p.models() {
			if p.read(ctx, m) {
				p.pushAll(g, f)
			}
		}
		select {
		case <-ctx.Done():
		case <-p.published:
			p.pushAll(g, f)
		case <-time.After(planPoll/2 + rand.N(planPoll)):
		}
	}
}

// read looks at the model's version, and reads the plan of a newer one. It
// returns whether there is one.
func (p *plans) read(ctx context.Context, m sillbundle.Model) bool {
	version, err := sillweight.ReadVersion(ctx, p.table, m.ID)
	if err == nil && version <= p.version(m.ID) {
		return false
	}
	var plan sillweight.Plan
	if err == nil {
		plan, _, err = sillweight.Read(ctx, p.table, m.ID)
	}
	if err != nil {
		p.metrics.readFailed.Inc()
		return false
	}
	return p.learn(m.Pool, plan)
}

// version returns the version of the known plan of a model; 0 for none.
func (p *plans) version(model sillid.ModelID) sillid.WeightVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[model].version
}

// publish spreads a plan that this gateway published without a further read.
func (p *plans) publish(pool sillid.PoolID, plan sillweight.Plan) {
	p.learn(pool, plan)
	select {
	case p.published <- struct{}{}:
	default:
	}
}

func (p *plans) models() []sillbundle.Model {
	if index := p.config.Snapshot().Index; index != nil {
		return index.Bundle.Models
	}
	return nil
}

// learn takes a plan and returns whether it is newer than the known one.
func (p *plans) learn(pool sillid.PoolID, plan sillweight.Plan) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if plan.Version <= p.known[plan.Model].version {
		return false
	}
	// The plan holds only strings and numbers, which always encode.
	data, _ := json.Marshal(plan)
	p.known[plan.Model] = knownPlan{version: plan.Version, pool: pool, message: &sillwire.WeightPlan{Data: data}}
	return true
}

func (p *plans) pushAll(g *sillgroup.Group, f *sillfleet.Fleet) {
	for _, l := range f.Links() {
		if pong := l.Pong(); pong != nil && l.Connected() {
			p.sync(g, l, pong)
		}
	}
}

// sync sends the agent of a heartbeat the plans that it lacks.
func (p *plans) sync(g *sillgroup.Group, l *silllink.Link, pong *sillwire.Pong) {
	adopted := make(map[sillid.ModelID]sillid.WeightVersion, len(pong.Adopted))
	for _, a := range pong.Adopted {
		adopted[a.Model] = a.Version
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for model, k := range p.known {
		if k.pool != pong.Pool || adopted[model] >= k.version || p.busy[l] {
			continue
		}
		p.busy[l] = true
		g.Go(func(ctx context.Context) { p.push(ctx, l, k.message) })
	}
}

func (p *plans) push(ctx context.Context, l *silllink.Link, m *sillwire.WeightPlan) {
	ctx, cancel := context.WithTimeout(ctx, pushLimit)
	defer cancel()
	err := l.PushPlan(ctx, m)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, l)
	if err != nil {
		p.metrics.pushFailed.Inc()
		p.log.Debug("could not send a weight plan", zap.String("agent", l.Address()), zap.Error(err))
		return
	}
	p.metrics.pushed.Inc()
}

// watchGone looks for targets that have ended, so that no group waits for them.
func (p *plans) watchGone(ctx context.Context, f *sillfleet.Fleet) {
	started := time.Now()
	sillgroup.Every(ctx, goneInterval, func(now time.Time) {
		gone := goneTargets(now, started, f.Status(ctx))
		p.gone.Store(&gone)
	})
}

// goneTargets returns the targets of the subset that have been silent for long.
func goneTargets(now, started time.Time, fleet []sillfleet.Status) []sillid.TargetID {
	var gone []sillid.TargetID
	for _, s := range fleet {
		heard := s.LastPongAt
		if heard.IsZero() {
			heard = started
		}
		if s.State == sillmembership.Suspect && !s.Connected && now.Sub(heard) > goneSilence {
			gone = append(gone, s.Target)
		}
	}
	return gone
}

// goneNow returns the ended targets, as heartbeats tell them.
func (p *plans) goneNow() []sillid.TargetID {
	if gone := p.gone.Load(); gone != nil {
		return *gone
	}
	return nil
}
