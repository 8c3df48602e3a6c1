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
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/sillweight"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// planPollInterval is the mean time between two reads of the models' plans.
	planPollInterval = 2 * time.Second
	// endedCheckInterval is the time between two checks for ended targets.
	endedCheckInterval = time.Second
	// endedSilence is the time without a heartbeat after which a target counts as ended.
	endedSilence = sillwire.SilenceLimit
	// pushTimeout bounds the transfer of a plan.
	pushTimeout = 5 * time.Second
)

// plans sends the models' weight plans to the agents of the subset.
type plans struct {
	table   *silltable.Store
	config  *sillbundlestore.Service
	metrics *planMetrics
	log     *zap.Logger
	ended   atomic.Pointer[[]sillid.TargetID]
	// published signals that this gateway published a plan.
	published chan struct{}

	mu    sync.Mutex
	known map[sillid.ModelID]knownPlan
	// pushing holds the links on which a plan is being sent.
	pushing map[*silllink.Link]bool
}

// knownPlan is a plan, encoded for the agents.
type knownPlan struct {
	version sillid.WeightVersion
	pool    sillid.PoolID
	message *sillwire.WeightPlan
}

// planMetrics are the counters of plans sent and read.
type planMetrics struct {
	pushed, pushFailed, readFailed prometheus.Counter
}

func newPlanMetrics(r prometheus.Registerer) *planMetrics {
	m := &planMetrics{
		pushed:     sillmetric.Counter("wasabisill_gateway_weight_plans_pushed_total", "Weight plans that were sent to agents."),
		pushFailed: sillmetric.Counter("wasabisill_gateway_weight_plan_push_failures_total", "Weight plans that did not reach an agent; they are sent again."),
		readFailed: sillmetric.Counter("wasabisill_gateway_weight_plan_read_failures_total", "Failed reads of a model's weight plan."),
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
		pushing:   make(map[*silllink.Link]bool),
	}
}

func startPlans(lc fx.Lifecycle, b background, p *plans, f *sillfleet.Fleet) {
	lc.Append(fx.StartHook(func() {
		b.Go(func(ctx context.Context) { p.poll(ctx, b.Group, f) })
		b.Go(func(ctx context.Context) { p.watchEnded(ctx, f) })
	}))
}

// poll reads the plans of the bundle's models until ctx ends and sends newer ones.
func (p *plans) poll(ctx context.Context, g *sillgroup.Group, f *sillfleet.Fleet) {
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
		case <-time.After(planPollInterval/2 + rand.N(planPollInterval)):
		}
	}
}

// read reads the model's current version and, if it is newer than the known one, its
// plan. It returns whether there was a newer plan.
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
	return p.update(m.Pool, plan)
}

// version returns the version of the known plan of a model; 0 if there is none.
func (p *plans) version(model sillid.ModelID) sillid.WeightVersion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[model].version
}

// publish sends a plan that this gateway published, without reading it back.
func (p *plans) publish(pool sillid.PoolID, plan sillweight.Plan) {
	p.update(pool, plan)
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

// update replaces the known plan of a model by a newer one. It returns whether the
// plan is newer.
func (p *plans) update(pool sillid.PoolID, plan sillweight.Plan) bool {
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
			p.pushMissing(g, l, pong)
		}
	}
}

// pushMissing sends the agent of a heartbeat the plans that it lacks.
func (p *plans) pushMissing(g *sillgroup.Group, l *silllink.Link, pong *sillwire.Pong) {
	adopted := make(map[sillid.ModelID]sillid.WeightVersion, len(pong.Adopted))
	for _, a := range pong.Adopted {
		adopted[a.Model] = a.Version
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for model, k := range p.known {
		if k.pool != pong.Pool || adopted[model] >= k.version || p.pushing[l] {
			continue
		}
		p.pushing[l] = true
		g.Go(func(ctx context.Context) { p.push(ctx, l, k.message) })
	}
}

func (p *plans) push(ctx context.Context, l *silllink.Link, m *sillwire.WeightPlan) {
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	err := l.PushPlan(ctx, m)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pushing, l)
	if err != nil {
		p.metrics.pushFailed.Inc()
		p.log.Debug("could not send a weight plan", zap.String("agent", l.Address()), zap.Error(err))
		return
	}
	p.metrics.pushed.Inc()
}

// watchEnded checks for targets that have ended, so that no group waits for them.
func (p *plans) watchEnded(ctx context.Context, f *sillfleet.Fleet) {
	started := time.Now()
	sillgroup.Every(ctx, endedCheckInterval, func(now time.Time) {
		ended := findEnded(now, started, f.Status(ctx))
		p.ended.Store(&ended)
	})
}

// findEnded returns the targets of the subset that have sent no heartbeat for
// endedSilence.
func findEnded(now, started time.Time, fleet []sillfleet.Status) []sillid.TargetID {
	var ended []sillid.TargetID
	for _, s := range fleet {
		lastPong := s.LastPongAt
		if lastPong.IsZero() {
			lastPong = started
		}
		if s.State == sillmembership.Suspect && !s.Connected && now.Sub(lastPong) > endedSilence {
			ended = append(ended, s.Target)
		}
	}
	return ended
}

// endedTargets returns the ended targets, for the heartbeats to agents.
func (p *plans) endedTargets() []sillid.TargetID {
	if ended := p.ended.Load(); ended != nil {
		return *ended
	}
	return nil
}
