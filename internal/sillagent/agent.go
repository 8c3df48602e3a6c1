// Package sillagent is the process beside each target. Every request to the target
// passes its agent, which therefore knows what runs, what has run, which weights are
// loaded and what is billed.
package sillagent

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllimit"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Use is what one run is billed for.
type Use struct {
	EndedAt time.Time
	// Requests is 1 for a complete response and 0 for an incomplete one.
	Requests         int64
	Organisation     sillid.OrganisationID
	Route            sillid.RouteID
	PromptTokens     sillid.Tokens
	CompletionTokens sillid.Tokens
	Service          time.Duration
}

// Config holds what an agent needs.
type Config struct {
	// ID is new at every start.
	ID       sillid.AgentID
	Target   sillid.TargetID
	Instance sillid.InstanceID
	Pool     sillid.PoolID
	Zone     sillid.ZoneID
	Kind     sillbundle.RouteKind
	// TargetURL is the address of the target, without a path.
	TargetURL string
	// Listener accepts the gateways' connections.
	Listener *sillwire.Listener
	// Engine is the client of the target on model agents, nil otherwise.
	Engine *sillengine.Client
	// Gate shares the target between organisations.
	Gate *silllimit.Gate
	// Meter counts the use of a run and returns its numbered record.
	Meter func(use Use) *sillwire.UsageRecord
	// OnPing is called for each heartbeat of a gateway and adds to its response.
	OnPing func(ping *sillwire.Ping, pong *sillwire.Pong)
	// SendConfig sends the configuration in force.
	SendConfig func(w io.Writer) error
	// ReceiveConfig receives a configuration that a gateway pushes.
	ReceiveConfig func(r io.Reader, first *sillwire.Bundle) error
	// Weights sends weights that the agent holds.
	Weights func(ctx context.Context, want *sillwire.FetchWeights, stream *quic.Stream) error
	// ReceivePlan receives a weight plan that a gateway pushes.
	ReceivePlan func(plan *sillwire.WeightPlan) error
	// WeightStatus receives the status of another agent and returns this agent's.
	WeightStatus func(status *sillwire.WeightStatus) *sillwire.WeightStatus
	// Suspects holds the evidence on requests that crash their targets.
	Suspects *sillcrash.SharedTracker
	Metrics  *Metrics
	Log      *zap.Logger
	Now      func() time.Time
}

// Agent serves gateways and runs their requests on its target.
type Agent struct {
	cfg   Config
	group *sillgroup.Group
	// runs is the context of the runs. It ends before the connections that carry
	// their responses.
	runs     context.Context
	endRuns  context.CancelFunc
	registry *registry
	gateways *gateways
	// receiving counts the streams of requests that are being received or rejected.
	receiving atomic.Int64
	control   *control
	// generations are the open generations of a model agent.
	generations *generations
	service     *serviceClient
	limit       targetLimit
	// accepted is closed once no connection is accepted any more.
	accepted chan struct{}
}

const (
	// detachLimit is how long a run whose stream was lost waits for its gateway to
	// reconnect.
	detachLimit = 10 * time.Second
	// sweepInterval is the time between two checks for such runs.
	sweepInterval = time.Second
	// drainPoll is the time between two checks of a drain.
	drainPoll = 20 * time.Millisecond
	// lastAnswerLimit bounds the wait for the responses of cut runs to be received.
	lastAnswerLimit = 3 * time.Second
)

// New returns an agent that serves after Start.
func New(cfg Config) *Agent {
	a := &Agent{
		cfg:         cfg,
		registry:    newRegistry(cfg.Now),
		gateways:    newGateways(cfg.Now),
		generations: newGenerations(),
		accepted:    make(chan struct{}),
	}
	a.control = newControl(a)
	if cfg.Kind == sillbundle.ServiceRoute {
		a.service = newServiceClient(cfg.TargetURL)
	}
	return a
}

// Start serves until Stop.
func (a *Agent) Start(ctx context.Context) {
	a.group = sillgroup.New(ctx)
	a.runs, a.endRuns = context.WithCancel(a.group.Context())
	a.group.Go(a.accept)
	a.group.Go(a.control.run)
	a.group.Go(a.sweep)
}

// Drain rejects new requests and waits until every gateway knows that and all runs
// have ended, or ctx ends.
func (a *Agent) Drain(ctx context.Context, reason string) error {
	a.rejectRuns(reason)
	return a.awaitIdle(ctx)
}

// Stop ends the agent and cuts open runs, whose gateways are told. Call Drain first to
// finish them.
func (a *Agent) Stop() {
	a.rejectRuns("the agent stops")
	a.endRuns()
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswerLimit)
	defer cancel()
	if err := a.awaitAnswers(ctx); err != nil {
		a.cfg.Log.Warn("closing connections with open runs", zap.Error(err))
	}
	_ = a.cfg.Listener.Refuse()
	<-a.accepted
	// Each connection is closed before the listener, which would not tell its peer.
	a.group.Stop()
	_ = a.cfg.Listener.Close()
}

// rejectRuns makes the agent reject new requests.
func (a *Agent) rejectRuns(reason string) {
	done := make(chan struct{})
	a.control.await(drainAsked{reason: reason, done: done}, done)
}

// awaitIdle waits until every gateway has learned of the drain and awaitAnswers returns.
// A gateway that has not learned of it still sends requests, which a closed connection
// would lose.
func (a *Agent) awaitIdle(ctx context.Context) error {
	told := func() bool { return a.gateways.uninformed() == 0 }
	if !waitUntil(ctx, told) {
		return eris.Errorf("sillagent.Drain: %d gateways do not know of the drain, %d runs are open", a.gateways.uninformed(), a.registry.open())
	}
	return a.awaitAnswers(ctx)
}

// awaitAnswers waits until no run is open and every rejection has been received.
func (a *Agent) awaitAnswers(ctx context.Context) error {
	idle := func() bool { return a.receiving.Load() == 0 && a.registry.open() == 0 }
	if !waitUntil(ctx, idle) {
		return eris.Errorf("sillagent.Drain: %d runs still open; allow a longer drain time", a.registry.open())
	}
	return nil
}

// waitUntil waits until done returns true. It returns false if ctx ended first.
func waitUntil(ctx context.Context, done func() bool) bool {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return false
		case <-tick.C:
		}
	}
	return true
}

// State returns the state that the agent's heartbeats carry.
func (a *Agent) State() sillwire.AgentState {
	return a.control.status().State
}

// Status returns the content of the agent's next heartbeat.
func (a *Agent) Status() sillwire.Pong {
	return a.control.status()
}

func (a *Agent) accept(ctx context.Context) {
	defer close(a.accepted)
	for {
		conn, err := a.cfg.Listener.Accept(ctx)
		if err != nil {
			return
		}
		a.group.Go(func(ctx context.Context) { a.serve(ctx, conn) })
	}
}

// sweep cancels runs whose gateway did not reconnect in time.
func (a *Agent) sweep(ctx context.Context) {
	sillgroup.Every(ctx, sweepInterval, func(time.Time) {
		for _, n := range a.registry.abandoned(a.cfg.Now().Add(-detachLimit)) {
			n.cancel(errAbandoned)
		}
	})
}
