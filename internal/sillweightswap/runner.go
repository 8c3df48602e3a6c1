// Package sillweightswap carries out what sillweight decides at an agent: it fetches
// weights, hands them to the engine and to other agents, orders loads and
// exchanges statuses with the group.
//
// One goroutine owns the Swapper. Whatever takes time runs beside it and comes
// back as an event.
package sillweightswap

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillweight"
	"github.com/wasabisill/wasabisill/internal/sillweightstore"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Engine is what the engine has loaded.
type Engine struct {
	ID      sillid.EngineID
	Version sillid.WeightVersion
}

// Config holds what a runner needs.
type Config struct {
	Weight sillweight.Config
	// Engine returns what is loaded; false while that is not known.
	Engine func() (Engine, bool)
	// FetchStore reads weights from the weight store.
	FetchStore func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) ([]byte, error)
	// FetchPeer reads weights from the agent at an address.
	FetchPeer func(ctx context.Context, address string, want *sillwire.FetchWeights) ([]byte, error)
	// Exchange sends a status to the agent at an address and returns its own.
	Exchange func(ctx context.Context, address string, status *sillwire.WeightStatus) (*sillwire.WeightStatus, error)
	// Load orders the engine to load weights and returns once it is known
	// whether it did.
	Load func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) error
	// SetOutOfService takes the target out of serving, or puts it back.
	SetOutOfService func(out bool)
	// HoldTime is the time for which weights are kept for others after the own load.
	HoldTime time.Duration
	Metrics  *Metrics
	Log      *zap.Logger
	Now      func() time.Time
}

// tickInterval is the time between two looks at what is due.
const tickInterval = 100 * time.Millisecond

// eventBacklog is the number of events that wait for the runner's goroutine.
const eventBacklog = 256

type (
	planCame   struct{ plan sillweight.Plan }
	statusCame struct {
		model  sillid.ModelID
		status sillweight.Status
		answer chan sillweight.Status
	}
	peersGone struct{ targets []sillid.TargetID }
	fetched   struct {
		version sillid.WeightVersion
		data    []byte
		err     error
	}
	swapped struct {
		version sillid.WeightVersion
		err     error
	}
)

// Runner runs one target's Swapper.
type Runner struct {
	cfg    Config
	group  *sillgroup.Group
	events chan any
	held   *holder

	// The fields below belong to the runner's goroutine.

	// swapper is nil until the engine is known.
	swapper *sillweight.Swapper
	engine  sillid.EngineID
	plan    sillweight.Plan
	address map[sillid.TargetID]string
	loading bool
	// toldOut is the version for which the group was told that the target is out
	// because its engine was not known; 0 if it was not.
	toldOut sillid.WeightVersion
	// doneAt is when the plan's version was loaded; zero before.
	doneAt time.Time
}

// New returns a runner that works after Start.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, events: make(chan any, eventBacklog), held: newHolder(cfg.Metrics)}
}

// Start works until Stop.
func (r *Runner) Start(ctx context.Context) {
	r.group = sillgroup.New(ctx)
	r.group.Go(r.run)
}

// Stop ends every fetch and message. A load that the engine has begun goes on.
func (r *Runner) Stop() { r.group.Stop() }

// AdoptPlan takes a plan that a gateway pushes; one that is not newer has no effect.
func (r *Runner) AdoptPlan(plan sillweight.Plan) { r.send(planCame{plan: plan}) }

// HandlePeersEnded takes a gateway's word that targets have ended.
func (r *Runner) HandlePeersEnded(targets []sillid.TargetID) {
	if len(targets) > 0 {
		r.send(peersGone{targets: targets})
	}
}

// Adopted returns the newest plan's model and version; false if there is none.
func (r *Runner) Adopted() (sillwire.ModelVersion, bool) {
	model, version := r.held.wanted()
	return sillwire.ModelVersion{Model: model, Version: version}, version != 0
}

// HandleStatus takes another agent's status in and returns the own one.
func (r *Runner) HandleStatus(m *sillwire.WeightStatus) *sillwire.WeightStatus {
	answer := make(chan sillweight.Status, 1)
	status := sillweight.Status{Target: m.Target, Version: m.Version, State: sillweight.State(m.State)}
	r.send(statusCame{model: m.Model, status: status, answer: answer})
	select {
	case s := <-answer:
		return r.message(m.Model, s)
	case <-r.group.Context().Done():
		return r.message(m.Model, sillweight.Status{Target: r.cfg.Weight.Target, State: sillweight.Waiting})
	}
}

func (r *Runner) message(model sillid.ModelID, s sillweight.Status) *sillwire.WeightStatus {
	return &sillwire.WeightStatus{Target: s.Target, Model: model, Version: s.Version, State: string(s.State)}
}

func (r *Runner) send(e any) {
	select {
	case r.events <- e:
	case <-r.group.Context().Done():
	}
}

func (r *Runner) run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-r.events:
			r.apply(e)
		case <-tick.C:
			r.tick()
		}
	}
}

func (r *Runner) tick() {
	r.followEngine()
	if r.swapper == nil {
		return
	}
	now := r.cfg.Now()
	r.do(r.swapper.Tick(now))
	if !r.doneAt.IsZero() && now.Sub(r.doneAt) > r.cfg.HoldTime {
		r.held.drop()
	}
}

// followEngine starts anew for an engine that started anew, as it may have
// other weights loaded than the former run.
func (r *Runner) followEngine() {
	engine, ok := r.cfg.Engine()
	if !ok || engine.ID == r.engine || r.loading {
		return
	}
	r.engine = engine.ID
	r.swapper = sillweight.NewSwapper(r.cfg.Weight, engine.Version)
	r.cfg.SetOutOfService(false)
	if r.plan.Version != 0 && r.toldOut == r.plan.Version {
		r.swapper.MarkOutOfService()
	}
	if r.plan.Version != 0 {
		r.do(r.swapper.Adopt(r.cfg.Now(), r.plan))
	}
}

func (r *Runner) apply(e any) {
	now := r.cfg.Now()
	switch e := e.(type) {
	case planCame:
		r.adopt(now, e.plan)
	case statusCame:
		if r.swapper != nil && e.model == r.plan.Model {
			r.do(r.swapper.HandleStatus(now, e.status))
		}
		e.answer <- r.status()
	case peersGone:
		for _, t := range e.targets {
			if r.swapper != nil {
				r.do(r.swapper.HandleMemberEnded(now, t))
			}
		}
	case fetched:
		r.fetched(now, e)
	case swapped:
		r.loading = false
		if e.err == nil && e.version == r.plan.Version {
			r.doneAt = now
		}
		r.do(r.swapper.HandleLoadResult(now, e.version, e.err))
	}
}

// status is what the group is told. A target whose engine is not known does
// not serve.
func (r *Runner) status() sillweight.Status {
	if r.swapper == nil {
		r.toldOut = r.plan.Version
		return sillweight.Status{Target: r.cfg.Weight.Target, Version: r.plan.Version, State: sillweight.OutOfService}
	}
	return r.swapper.Status()
}

func (r *Runner) adopt(now time.Time, plan sillweight.Plan) {
	if plan.Version <= r.plan.Version || (r.plan.Model != "" && plan.Model != r.plan.Model) {
		return
	}
	r.cfg.Log.Info("adopted a weight version", zap.Uint64("version", uint64(plan.Version)))
	r.plan = plan
	r.doneAt = time.Time{}
	r.address = make(map[sillid.TargetID]string, len(plan.Members))
	for _, m := range plan.Members {
		r.address[m.Target] = m.Address
	}
	r.held.want(plan.Model, plan.Version)
	if r.swapper != nil {
		r.do(r.swapper.Adopt(now, plan))
	}
}

func (r *Runner) fetched(now time.Time, e fetched) {
	if e.version != r.plan.Version {
		return
	}
	if e.err == nil {
		r.held.keep(e.version, e.data)
	}
	r.do(r.swapper.HandleFetchResult(now, e.version, e.err))
}

func (r *Runner) do(commands []sillweight.Command) {
	for _, c := range commands {
		r.command(c)
	}
}

func (r *Runner) command(c sillweight.Command) {
	model := r.plan.Model
	switch c.Kind {
	case sillweight.FetchStore, sillweight.FetchPeer:
		address := r.address[c.Peer]
		hash := r.plan.Hash
		r.group.Go(func(ctx context.Context) { r.fetch(ctx, c, address, hash, model) })
	case sillweight.Swap:
		r.loading = true
		r.group.Go(func(ctx context.Context) {
			err := r.cfg.Load(ctx, model, c.Version)
			if err != nil && ctx.Err() == nil {
				r.cfg.Log.Warn("the engine did not load the weights", zap.Uint64("version", uint64(c.Version)), zap.Error(err))
			}
			r.send(swapped{version: c.Version, err: err})
		})
	case sillweight.Serve:
		r.cfg.SetOutOfService(false)
	case sillweight.TakeOutOfService:
		r.cfg.Metrics.TakenOut.Inc()
		r.cfg.Log.Error("took the target out of serving: its engine fails to load the weights; restart the engine", zap.Uint64("version", uint64(c.Version)))
		r.cfg.SetOutOfService(true)
	case sillweight.SendStatus:
		r.exchange(c.Peer, c.Status)
	case sillweight.RequestStatus:
		r.exchange(c.Peer, r.status())
	}
}

// messageLimit bounds one exchange of statuses.
const messageLimit = 2 * time.Second

// exchange tells a member of the group the own status and hears its status.
func (r *Runner) exchange(peer sillid.TargetID, s sillweight.Status) {
	address := r.address[peer]
	m := r.message(r.plan.Model, s)
	r.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, messageLimit)
		defer cancel()
		answer, err := r.cfg.Exchange(ctx, address, m)
		if err != nil || answer.Target != peer {
			r.cfg.Metrics.MessageFailures.Inc()
			return
		}
		status := sillweight.Status{Target: answer.Target, Version: answer.Version, State: sillweight.State(answer.State)}
		r.send(statusCame{model: answer.Model, status: status, answer: make(chan sillweight.Status, 1)})
	})
}

// fetchLimit bounds one fetch.
const fetchLimit = time.Minute

func (r *Runner) fetch(ctx context.Context, c sillweight.Command, address, hash string, model sillid.ModelID) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	source := "store"
	var data []byte
	var err error
	if c.Kind == sillweight.FetchPeer {
		source = "peer"
		data, err = r.cfg.FetchPeer(ctx, address, &sillwire.FetchWeights{Model: model, Version: c.Version})
	} else {
		data, err = r.cfg.FetchStore(ctx, model, c.Version)
	}
	if err == nil {
		err = verify(hash, data)
	}
	if err == nil {
		r.cfg.Metrics.Fetches.WithLabelValues(source).Inc()
	} else {
		r.cfg.Metrics.FetchFailures.WithLabelValues(source, reason(err)).Inc()
		r.cfg.Log.Debug("could not fetch the weights", zap.String("source", source), zap.Error(err))
		awaitLimit(ctx, err)
	}
	r.send(fetched{version: c.Version, data: data, err: err})
}

// errHash is returned for weights that are not those of the plan.
var errHash = errors.New("weights differ from the published hash: check what the trainer stored")

func verify(hash string, data []byte) error {
	if hash == "" {
		return nil
	}
	if sum := sha256.Sum256(data); hex.EncodeToString(sum[:]) != hash {
		return eris.Wrap(errHash, "sillweightswap.verify")
	}
	return nil
}

// awaitLimit waits as long as the weight store asks for.
func awaitLimit(ctx context.Context, err error) {
	var limit *sillweightstore.RateLimitError
	if !errors.As(err, &limit) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(limit.RetryAfter):
	}
}

// reason names a failed fetch in the metrics.
func reason(err error) string {
	var limit *sillweightstore.RateLimitError
	switch {
	case errors.As(err, &limit):
		return "limit"
	case errors.Is(err, sillweightstore.ErrNotFound):
		return "not-found"
	case errors.Is(err, errHash):
		return "hash"
	case errors.Is(err, errNotHeld):
		return "not-held"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "connection"
}
