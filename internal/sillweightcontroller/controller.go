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

// Reply is the outcome of sending an order to an engine.
type Reply int

const (
	// NoReply means that no response arrived; the engine may still carry the
	// order out, now or later.
	NoReply Reply = iota
	// Accepted means that the engine loads the version or already holds it.
	Accepted
	// Conflict means that the engine is carrying out another order, or that its
	// number of accepted orders differs from LoadOrder.OrderCount.
	Conflict
	// Rejected means that the engine can't carry out the order as it stands.
	Rejected
	// NotSent means that the order never reached the engine.
	NotSent
)

// Report holds the state that an engine reports.
type Report struct {
	// OrderCount is the number of orders that the engine has accepted.
	OrderCount uint64
	// Versions holds the weight version that is loaded of each model.
	Versions map[sillid.ModelID]sillid.WeightVersion
	// Notice is whether the engine says that it leaves. It is set even if the call failed
	// after the head of the response.
	Notice silltarget.Notice
}

// Config holds the dependencies of a Controller.
type Config struct {
	// Engines returns the engines by pool.
	Engines func() map[sillid.PoolID][]silltarget.Entry
	// Desired returns the desired version of each model of a pool.
	Desired func(pool sillid.PoolID) map[sillid.ModelID]DesiredVersion
	// Order sends one order with a fencing number. It also returns whether the engine
	// says that it leaves.
	Order func(ctx context.Context, l LoadOrder, fence sillid.Epoch) (Reply, silltarget.Notice)
	// Report fetches an engine's order count and versions.
	Report func(ctx context.Context, e silltarget.Entry) (Report, error)
	// OnNotice receives what a response of an engine says of its leaving.
	OnNotice func(run silltarget.Run, n silltarget.Notice)
	// Now reads the clock that lease expiry is measured with.
	Now func() time.Time
	Log *zap.Logger
}

const (
	// planInterval is the time between two planning passes.
	planInterval = 50 * time.Millisecond
	// orderTimeout bounds the sending of an order. It is shorter than the time
	// for which a new lease holder waits before it sends orders.
	orderTimeout = time.Second
	// sendMargin is the minimum remaining time of the lease for an order to be sent.
	sendMargin = 250 * time.Millisecond
)

// Controller sends the orders that a Planner returns while it holds a lease.
type Controller struct {
	cfg      Config
	planners map[sillid.PoolID]*Planner
	// events carries updates of the planners to the goroutine of Run, which alone
	// uses them.
	events chan func()
}

// NewController returns a controller. Run starts it.
func NewController(cfg Config) *Controller {
	cfg.Log = cfg.Log.Named("weights")
	return &Controller{cfg: cfg}
}

// Run sends orders until ctx ends. Every term of the lease starts with empty
// planners: the engines report their versions and order counts.
func (c *Controller) Run(ctx context.Context, guard silllease.Guard) {
	c.planners = make(map[sillid.PoolID]*Planner)
	c.events = make(chan func())
	group := sillgroup.New(ctx)
	defer group.Stop()
	ticker := time.NewTicker(planInterval)
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
			group.Go(func(ctx context.Context) { c.sendOrder(ctx, guard, p, l) })
		}
	}
}

// sendOrder sends one order and records the reply in the goroutine of Run.
func (c *Controller) sendOrder(ctx context.Context, guard silllease.Guard, p *Planner, l LoadOrder) {
	callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply := NotSent
	if guard.MayAct(c.cfg.Now().Add(sendMargin)) {
		var notice silltarget.Notice
		reply, notice = c.cfg.Order(callCtx, l, guard.Epoch)
		c.cfg.OnNotice(l.Target.Run(), notice)
	}
	c.cfg.Log.Info("Ordered weights.", zap.String("target", string(l.Target.ID)), zap.String("model", string(l.Model)),
		zap.Uint64("version", uint64(l.Version)), zap.Uint64("orders", l.OrderCount), zap.Bool("finish-runs", l.FinishRuns), zap.Uint64("fence", uint64(guard.Epoch)),
		zap.Stringer("reply", reply))
	var report *Report
	if reply == Conflict {
		report = c.fetchReport(ctx, l.Target)
	}
	c.enqueue(ctx, func() { c.handleReply(p, l, reply, report) })
}

// fetchReport returns the report of an engine, or nil if the call failed.
func (c *Controller) fetchReport(ctx context.Context, e silltarget.Entry) *Report {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := c.cfg.Report(ctx, e)
	c.cfg.OnNotice(e.Run(), report.Notice)
	if err != nil {
		c.cfg.Log.Warn("Engine did not report.", zap.String("target", string(e.ID)), silllog.Err(err))
		return nil
	}
	return &report
}

func (c *Controller) enqueue(ctx context.Context, apply func()) {
	select {
	case c.events <- apply:
	case <-ctx.Done():
	}
}

func (c *Controller) handleReply(p *Planner, l LoadOrder, reply Reply, report *Report) {
	now := c.cfg.Now()
	if report != nil {
		p.ObserveReport(l.Target.ID, report.OrderCount, report.Versions)
	}
	switch reply {
	case Accepted:
		p.OrderAccepted(now, l)
	case Conflict, Rejected, NotSent:
		p.OrderRefused(now, l)
	case NoReply:
		// The order stays pending until it expires, since the engine may carry it out.
	}
}

// String returns the name of the reply in logs.
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
