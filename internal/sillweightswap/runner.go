// Package sillweightswap executes the commands of an agent's sillweight.Swapper: it
// fetches weights, serves them to the engine and to other agents, orders loads and
// exchanges statuses with the swap group.
//
// One goroutine owns the Swapper. Fetches, loads and messages run in goroutines of
// their own and report their results to it as events.
package sillweightswap

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillweight"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Engine identifies one run of the engine and the weight version it has loaded.
type Engine struct {
	ID      sillid.EngineID
	Version sillid.WeightVersion
}

// Config holds the settings and dependencies of a Runner.
type Config struct {
	Weight sillweight.Config
	// Engine returns the engine's run and loaded version; false while they are not known.
	Engine func() (Engine, bool)
	// FetchStore reads weights from the weight store.
	FetchStore func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) ([]byte, error)
	// FetchPeer reads weights from the agent at the address.
	FetchPeer func(ctx context.Context, address string, want *sillwire.FetchWeights) ([]byte, error)
	// Exchange sends a status to the agent at the address and returns that agent's status.
	Exchange func(ctx context.Context, address string, status *sillwire.WeightStatus) (*sillwire.WeightStatus, error)
	// Load orders the engine to load weights and returns once it is known whether
	// the engine loaded them.
	Load func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) error
	// SetOutOfService takes the target out of service, or puts it back.
	SetOutOfService func(out bool)
	// HoldTime is the time for which weights are kept for other agents after this
	// agent's engine has loaded them.
	HoldTime time.Duration
	Metrics  *Metrics
	Log      *zap.Logger
	Now      func() time.Time
}

// tickInterval is the time between two calls of Swapper.Tick.
const tickInterval = 100 * time.Millisecond

// eventBacklog is the number of events that are queued for the runner's goroutine
// before further senders block.
const eventBacklog = 256

type (
	planReceived   struct{ plan sillweight.Plan }
	statusReceived struct {
		model    sillid.ModelID
		status   sillweight.Status
		response chan sillweight.Status
	}
	peersEnded    struct{ targets []sillid.TargetID }
	fetchFinished struct {
		version sillid.WeightVersion
		data    []byte
		err     error
	}
	loadFinished struct {
		version sillid.WeightVersion
		err     error
	}
)

// Runner runs one target's Swapper. After Start, its methods are safe for concurrent use.
type Runner struct {
	cfg    Config
	group  *sillgroup.Group
	events chan any
	held   *holder

	// Only the runner's goroutine uses the fields below.

	// swapper is nil until the engine is known.
	swapper   *sillweight.Swapper
	engine    sillid.EngineID
	plan      sillweight.Plan
	addresses map[sillid.TargetID]string
	loading   bool
	// reportedOutVersion is the version for which the target reported OutOfService
	// because its engine was not known; 0 if it reported none.
	reportedOutVersion sillid.WeightVersion
	// loadedAt is when the engine loaded the plan's version; zero before.
	loadedAt time.Time
}

// New returns a Runner that is not started yet.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, events: make(chan any, eventBacklog), held: newHolder(cfg.Metrics)}
}

// Start starts the runner's goroutine, which works until Stop or the end of ctx.
func (r *Runner) Start(ctx context.Context) {
	r.group = sillgroup.New(ctx)
	r.group.Go(r.run)
}

// Stop ends every fetch and message. A load that the engine has begun continues.
func (r *Runner) Stop() { r.group.Stop() }

// AdoptPlan adopts a plan that a gateway pushed. A plan that is not newer has no effect.
func (r *Runner) AdoptPlan(plan sillweight.Plan) { r.enqueue(planReceived{plan: plan}) }

// HandlePeersEnded records that a gateway reported targets as ended.
func (r *Runner) HandlePeersEnded(targets []sillid.TargetID) {
	if len(targets) > 0 {
		r.enqueue(peersEnded{targets: targets})
	}
}

// Adopted returns the model and version of the adopted plan; false if there is none.
func (r *Runner) Adopted() (sillwire.ModelVersion, bool) {
	model, version := r.held.current()
	return sillwire.ModelVersion{Model: model, Version: version}, version != 0
}

// HandleStatus records another agent's status and returns this target's status, or the
// state Waiting without a version if the runner has stopped.
func (r *Runner) HandleStatus(m *sillwire.WeightStatus) *sillwire.WeightStatus {
	response := make(chan sillweight.Status, 1)
	status := sillweight.Status{Target: m.Target, Version: m.Version, State: sillweight.State(m.State)}
	r.enqueue(statusReceived{model: m.Model, status: status, response: response})
	select {
	case s := <-response:
		return r.statusMessage(m.Model, s)
	case <-r.group.Context().Done():
		return r.statusMessage(m.Model, sillweight.Status{Target: r.cfg.Weight.Target, State: sillweight.Waiting})
	}
}

func (r *Runner) statusMessage(model sillid.ModelID, s sillweight.Status) *sillwire.WeightStatus {
	return &sillwire.WeightStatus{Target: s.Target, Model: model, Version: s.Version, State: string(s.State)}
}

func (r *Runner) enqueue(e any) {
	sillgroup.Send(r.group.Context(), r.events, e)
}

func (r *Runner) run(ctx context.Context) {
	sillgroup.Loop(ctx, r.events, tickInterval, r.handleEvent, r.tick)
}

func (r *Runner) tick() {
	r.checkEngine()
	if r.swapper == nil {
		return
	}
	now := r.cfg.Now()
	r.executeAll(r.swapper.Tick(now))
	if !r.loadedAt.IsZero() && now.Sub(r.loadedAt) > r.cfg.HoldTime {
		r.held.drop()
	}
}

// checkEngine replaces the Swapper if the engine has restarted, since the new run may
// have loaded other weights than the previous one.
func (r *Runner) checkEngine() {
	engine, ok := r.cfg.Engine()
	if !ok || engine.ID == r.engine || r.loading {
		return
	}
	r.engine = engine.ID
	r.swapper = sillweight.NewSwapper(r.cfg.Weight, engine.Version)
	r.cfg.SetOutOfService(false)
	if r.plan.Version != 0 && r.reportedOutVersion == r.plan.Version {
		r.swapper.MarkOutOfService()
	}
	if r.plan.Version != 0 {
		r.executeAll(r.swapper.Adopt(r.cfg.Now(), r.plan))
	}
}

func (r *Runner) handleEvent(e any) {
	now := r.cfg.Now()
	switch e := e.(type) {
	case planReceived:
		r.adopt(now, e.plan)
	case statusReceived:
		if r.swapper != nil && e.model == r.plan.Model {
			r.executeAll(r.swapper.HandleStatus(now, e.status))
		}
		e.response <- r.status()
	case peersEnded:
		for _, t := range e.targets {
			if r.swapper != nil {
				r.executeAll(r.swapper.HandleMemberEnded(now, t))
			}
		}
	case fetchFinished:
		r.handleFetchFinished(now, e)
	case loadFinished:
		r.loading = false
		if e.err == nil && e.version == r.plan.Version {
			r.loadedAt = now
		}
		r.executeAll(r.swapper.HandleLoadResult(now, e.version, e.err))
	}
}

// status returns the status to report to the group. A target whose engine is not known
// doesn't serve, so it reports OutOfService.
func (r *Runner) status() sillweight.Status {
	if r.swapper == nil {
		r.reportedOutVersion = r.plan.Version
		return sillweight.Status{Target: r.cfg.Weight.Target, Version: r.plan.Version, State: sillweight.OutOfService}
	}
	return r.swapper.Status()
}

func (r *Runner) adopt(now time.Time, plan sillweight.Plan) {
	if plan.Version <= r.plan.Version || (r.plan.Model != "" && plan.Model != r.plan.Model) {
		return
	}
	r.cfg.Log.Info("Adopted a weight version.", zap.Uint64("version", uint64(plan.Version)))
	r.plan = plan
	r.loadedAt = time.Time{}
	r.addresses = make(map[sillid.TargetID]string, len(plan.Members))
	for _, m := range plan.Members {
		r.addresses[m.Target] = m.Address
	}
	r.held.expect(plan.Model, plan.Version)
	if r.swapper != nil {
		r.executeAll(r.swapper.Adopt(now, plan))
	}
}

func (r *Runner) handleFetchFinished(now time.Time, e fetchFinished) {
	if e.version != r.plan.Version {
		return
	}
	if e.err == nil {
		r.held.put(e.version, e.data)
	}
	r.executeAll(r.swapper.HandleFetchResult(now, e.version, e.err))
}

func (r *Runner) executeAll(commands []sillweight.Command) {
	for _, c := range commands {
		r.execute(c)
	}
}

func (r *Runner) execute(c sillweight.Command) {
	model := r.plan.Model
	switch c.Kind {
	case sillweight.FetchStore, sillweight.FetchPeer:
		address := r.addresses[c.Peer]
		hash := r.plan.Hash
		r.group.Go(func(ctx context.Context) { r.fetch(ctx, c, address, hash, model) })
	case sillweight.Swap:
		r.loading = true
		r.group.Go(func(ctx context.Context) {
			err := r.cfg.Load(ctx, model, c.Version)
			if err != nil && ctx.Err() == nil {
				r.cfg.Log.Warn("Engine did not load the weights.", zap.Uint64("version", uint64(c.Version)), zap.Error(err))
			}
			r.enqueue(loadFinished{version: c.Version, err: err})
		})
	case sillweight.Serve:
		r.cfg.SetOutOfService(false)
	case sillweight.TakeOutOfService:
		r.cfg.Metrics.TakenOut.Inc()
		r.cfg.Log.Error("Took the target out of service, since its engine fails to load the weights; restart the engine.", zap.Uint64("version", uint64(c.Version)))
		r.cfg.SetOutOfService(true)
	case sillweight.SendStatus:
		r.exchange(c.Peer, c.Status)
	case sillweight.RequestStatus:
		r.exchange(c.Peer, r.status())
	}
}

// statusTimeout limits one exchange of statuses.
const statusTimeout = 2 * time.Second

// exchange sends this target's status to a member of the group and enqueues the status
// that the member returns.
func (r *Runner) exchange(peer sillid.TargetID, s sillweight.Status) {
	address := r.addresses[peer]
	m := r.statusMessage(r.plan.Model, s)
	r.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		reply, err := r.cfg.Exchange(ctx, address, m)
		if err != nil || reply.Target != peer {
			r.cfg.Metrics.MessageFailures.Inc()
			return
		}
		status := sillweight.Status{Target: reply.Target, Version: reply.Version, State: sillweight.State(reply.State)}
		r.enqueue(statusReceived{model: reply.Model, status: status, response: make(chan sillweight.Status, 1)})
	})
}
