package sillweightcontroller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Reply is an engine's answer to an order.
type Reply int

const (
	// NoReply means that the order may be carried out, also later.
	NoReply Reply = iota
	// Accepted orders are carried out, or held already.
	Accepted
	// Conflict means that another order is under way, or that the number of
	// orders is another one.
	Conflict
	// Rejected orders can't be carried out as they are.
	Rejected
	// NotSent orders never left.
	NotSent
)

// Report is what an engine says of itself.
type Report struct {
	OrderCount uint64
	Versions   map[sillid.ModelID]sillid.WeightVersion
}

// Config holds what a Controller needs.
type Config struct {
	// Engines returns the engines by pool.
	Engines func() map[sillid.PoolID][]silltarget.Entry
	// Desired returns what trainers want of each model of a pool.
	Desired func(pool sillid.PoolID) map[sillid.ModelID]DesiredVersion
	// Order sends one order under a fencing number.
	Order func(ctx context.Context, l LoadOrder, fence sillid.Epoch) Reply
	// Report asks an engine for its orders and versions.
	Report func(ctx context.Context, e silltarget.Entry) (Report, error)
	// Now reads the clock by which leases are counted.
	Now func() time.Time
	Log *zap.Logger
}

const (
	// planEvery is the time between two looks at what is to be loaded.
	planEvery = 50 * time.Millisecond
	// orderTimeout bounds an order. It is shorter than the time for which a new
	// holder waits before it gives orders.
	orderTimeout = time.Second
	// sendMargin is what the lease must still last for an order to be sent.
	sendMargin = 250 * time.Millisecond
)

// Controller gives the orders that a Planner asks for, under a lease.
type Controller struct {
	cfg      Config
	planners map[sillid.PoolID]*Planner
	events   chan func()
}

// NewController returns a controller.
func NewController(cfg Config) *Controller {
	cfg.Log = cfg.Log.Named("weights")
	return &Controller{cfg: cfg}
}

// Run gives orders until ctx ends. Every term of the lease starts without
// knowledge of orders under way; the engines tell what they have.
func (c *Controller) Run(ctx context.Context, guard silllease.Guard) {
	c.planners = make(map[sillid.PoolID]*Planner)
	c.events = make(chan func())
	group := sillgroup.New(ctx)
	defer group.Stop()
	ticker := time.NewTicker(planEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case apply := <-c.events:
			apply()
		case <-ticker.C:
			c.plan(group, guard)
		}
	}
}

func (c *Controller) plan(group *sillgroup.Group, guard silllease.Guard) {
	now := c.cfg.Now()
	for pool, engines := range c.cfg.Engines() {
		p := c.planners[pool]
		if p == nil {
			p = NewPlanner()
			c.planners[pool] = p
		}
		for _, l := range p.Next(now, engines, c.cfg.Desired(pool)) {
			p.OrderSent(now, l)
			group.Go(func(ctx context.Context) { c.give(ctx, guard, p, l) })
		}
	}
}

// give sends one order and notes the answer in the planner's goroutine.
func (c *Controller) give(ctx context.Context, guard silllease.Guard, p *Planner, l LoadOrder) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply := NotSent
	if guard.MayAct(c.cfg.Now().Add(sendMargin)) {
		reply = c.cfg.Order(callCtx, l, guard.Epoch)
	}
	c.cfg.Log.Info("Ordered weights.", zap.String("target", string(l.Target.ID)), zap.String("model", string(l.Model)),
		zap.Uint64("version", uint64(l.Version)), zap.Uint64("orders", l.OrderCount), zap.Bool("finish-runs", l.FinishRuns), zap.Uint64("fence", uint64(guard.Epoch)),
		zap.Stringer("reply", reply))
	var told *Report
	if reply == Conflict {
		told = c.ask(ctx, l.Target)
	}
	c.note(ctx, func() { c.noted(p, l, reply, told) })
}

// ask returns what an engine says of itself, or nil.
func (c *Controller) ask(ctx context.Context, e silltarget.Entry) *Report {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.cfg.Report(ctx, e)
	if err != nil {
		c.cfg.Log.Warn("Engine did not report.", zap.String("target", string(e.ID)), silllog.Err(err))
		return nil
	}
	return &report
}

func (c *Controller) note(ctx context.Context, apply func()) {
	select {
	case c.events <- apply:
	case <-ctx.Done():
	}
}

func (c *Controller) noted(p *Planner, l LoadOrder, reply Reply, told *Report) {
	now := c.cfg.Now()
	if told != nil {
		p.ObserveReport(l.Target.ID, told.OrderCount, told.Versions)
	}
	switch reply {
	case Accepted:
		p.OrderAccepted(now, l)
	case Conflict, Rejected, NotSent:
		p.OrderRefused(now, l)
	case NoReply:
		// The order counts as under way until its time is over.
	}
}

// String returns the reply as logs name it.
func (r Reply) String() string {
	switch r {
	case NoReply:
		return "no-reply"
	case Accepted:
		return "taken"
	case Conflict:
		return "conflict"
	case Rejected:
		return "rejected"
	case NotSent:
		return "not-sent"
	}
	return "unknown"
}
