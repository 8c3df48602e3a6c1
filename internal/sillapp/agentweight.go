package sillapp

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillagent"
	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltls"
	"github.com/wasabisill/wasabisill/internal/sillweight"
	"github.com/wasabisill/wasabisill/internal/sillweightstore"
	"github.com/wasabisill/wasabisill/internal/sillweightswap"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// swapRetries is the number of retries after a failed load.
	swapRetries = 2
	// swapRetryDelay is the delay before a fetch or load is retried.
	swapRetryDelay = 500 * time.Millisecond
	// statusPollInterval is the time between two requests for the status of the group's
	// members.
	statusPollInterval = 500 * time.Millisecond
	// weightHoldTime is the time for which weights are kept for other agents.
	weightHoldTime = 2 * time.Minute
	// settleTimeout bounds the wait for the engine's report after a failed order.
	settleTimeout = 5 * time.Second
)

// weights fetches weight versions, loads them into the agent's engine and serves
// them to other agents.
type weights struct {
	runner *sillweightswap.Runner
	peers  *sillweightswap.Peers
	engine *sillengine.Client
	target sillid.TargetID
	// agent and url are set before the runner starts.
	agent *sillagent.Agent
	url   string
}

// weightsParts holds the dependencies of the agent's weights.
type weightsParts struct {
	fx.In

	Settings *sillsettings.Agent
	Material silltls.Material
	Engine   *sillengine.Client
	Metrics  *sillweightswap.Metrics
	Log      *zap.Logger
}

func newWeights(p weightsParts) (*weights, error) {
	s := p.Settings
	inner, err := p.Material.Client(silltls.AgentRole, sillwire.Protocol)
	if err != nil {
		return nil, err
	}
	store := sillweightstore.Dial(sillcall.Config{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Duration()})
	w := &weights{peers: sillweightswap.NewPeers(inner), engine: p.Engine, target: s.Target.ID}
	w.runner = sillweightswap.New(sillweightswap.Config{
		Weight: sillweight.Config{
			Target:             s.Target.ID,
			Retries:            swapRetries,
			RetryDelay:         swapRetryDelay,
			StatusPollInterval: statusPollInterval,
		},
		Engine:     w.loaded,
		FetchStore: store.Fetch,
		FetchPeer:  w.peers.Fetch,
		Exchange:   w.peers.Exchange,
		Load: func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) error {
			return w.load(ctx, p.Metrics, model, version)
		},
		SetOutOfService: func(out bool) { w.agent.SetOutOfService(out) },
		HoldTime:        weightHoldTime,
		Metrics:         p.Metrics,
		Log:             p.Log.Named("weights"),
		Now:             time.Now,
	})
	return w, nil
}

// startWeights serves weights to the engine and executes the weight plans.
func startWeights(lc fx.Lifecycle, l *listening, s *sillsettings.Agent, w *weights, a *sillagent.Agent) error {
	if s.Target.Kind == sillbundle.ModelRoute {
		srv, err := l.listen("weights", sillserver.PeerLimits(l.descriptors), s.Listen.Weights, sillsettings.ServerTLS{}, w.runner.Handler())
		if err != nil {
			return err
		}
		w.url = "http://" + srv.Address()
		appendServer(lc, srv)
	}
	w.agent = a
	lc.Append(fx.StartStopHook(
		func() { w.runner.Start(context.Background()) },
		func() {
			w.runner.Stop()
			w.peers.Close()
		},
	))
	return nil
}

func (w *weights) loaded() (sillweightswap.Engine, bool) {
	e, ok := w.agent.Engine()
	return sillweightswap.Engine{ID: e.ID, Version: e.Version}, ok
}

// heartbeat records the ended targets that a gateway reports, and reports the adopted
// version to it.
func (w *weights) heartbeat(ping *sillwire.Ping, pong *sillwire.Pong) {
	w.runner.HandlePeersEnded(ping.EndedTargets)
	if adopted, ok := w.runner.Adopted(); ok {
		pong.Adopted = []sillwire.ModelVersion{adopted}
	}
}

func (w *weights) receivePlan(m *sillwire.WeightPlan) error {
	var plan sillweight.Plan
	if err := json.Unmarshal(m.Data, &plan); err != nil {
		return &sillwire.FrameError{Reason: "the weight plan is no JSON: " + err.Error()}
	}
	w.runner.AdoptPlan(plan)
	return nil
}

// load orders the engine to load a version. The version serves as the fencing number:
// only this agent gives orders to its engine, versions only increase, and an order of
// an earlier run of the agent for the same version has the same effect.
func (w *weights) load(ctx context.Context, m *sillweightswap.Metrics, model sillid.ModelID, version sillid.WeightVersion) error {
	order := sillengine.Order{
		ID:      fmt.Sprintf("%s/%d/%s", w.target, version, sillid.Fresh("load")),
		Fencing: sillid.Epoch(version),
		Action:  sillengine.LoadWeights,
		Model:   model,
		Version: version,
		URL:     sillweightstore.URL(w.url, model, version),
	}
	w.agent.SwapBegan(version)
	result, err := w.engine.Order(ctx, order)
	if err == nil && result.Version != version {
		err = eris.Wrapf(sillengine.ErrOrderFailed, "sillapp.load: the engine names version %d", result.Version)
	}
	m.Swaps.WithLabelValues(orderResult(err)).Inc()
	outcome := loadOutcome(err)
	w.agent.SwapEnded(version, outcome)
	if outcome == sillattribution.LoadOK {
		return nil
	}
	return w.settle(ctx, version, err)
}

// settle returns nil if the engine has loaded the version despite the failed order.
func (w *weights) settle(ctx context.Context, version sillid.WeightVersion, orderErr error) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	engine, err := w.agent.AwaitSettled(ctx)
	if err != nil {
		return errors.Join(orderErr, err)
	}
	if engine.Version == version {
		return nil
	}
	return orderErr
}

func loadOutcome(err error) sillattribution.LoadOutcome {
	switch {
	case err == nil:
		return sillattribution.LoadOK
	case errors.Is(err, sillengine.ErrOrderUnknown):
		return sillattribution.LoadUnknown
	}
	return sillattribution.LoadFailed
}

// orderResult returns the result of an order as the label "outcome" has it.
func orderResult(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, sillengine.ErrOrderUnknown):
		return "unknown"
	case errors.Is(err, sillengine.ErrNotReached):
		return "not-reached"
	case errors.Is(err, sillengine.ErrStaleFencing):
		return "fenced"
	}
	return "failed"
}
