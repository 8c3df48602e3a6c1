package sillapp

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/quic-go/quic-go"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillagent"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/sillgossip"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllimit"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltls"
	"github.com/wasabisill/wasabisill/internal/sillusage"
	"github.com/wasabisill/wasabisill/internal/sillweightswap"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// engineCallTimeout bounds the calls to an engine that are no generation and no order.
const engineCallTimeout = 2 * time.Second

// Agent is a wired agent.
type Agent struct {
	program
	// Addresses is set once the agent has started.
	Addresses AgentAddresses
}

// AgentAddresses are the addresses that a started agent got.
type AgentAddresses struct {
	Inner   string `json:"inner"`
	Metrics string `json:"metrics"`
}

// NewAgent wires an agent from valid settings.
func NewAgent(settings *sillsettings.Agent, log *zap.Logger) *Agent {
	a := &Agent{}
	a.limits = settings.Limits
	a.drain = settings.Control.DrainLimit.Duration()
	a.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(a.drain+stopMargin),
		fx.Supply(settings, log),
		fx.Provide(
			newRegistry,
			newAgentListening,
			newAgentID,
			newAgentTLS,
			newInnerListener,
			newEngine,
			newGate,
			newRegisterer,
			newAgentConfig,
			newPeer,
			newAgentPart,
			sillagent.NewMetrics,
			sillbundlestore.NewMetrics,
			sillusage.NewMetrics,
			newSuspects,
			newAgentTable,
			newMeter,
			newFlusher,
			newWeights,
			sillweightswap.NewMetrics,
		),
		fx.Invoke(a.startOperatorPort, startAgentConfig, startFlusher, startWeights, startAgent),
	)
	return a
}

func newAgentID() sillid.AgentID {
	return sillid.AgentID(sillid.Fresh("agent"))
}

func newAgentTLS(s *sillsettings.Agent) (silltls.Material, error) {
	return silltls.Load(s.Inner.AuthorityFile, s.Inner.CertificateFile, s.Inner.KeyFile)
}

func newInnerListener(s *sillsettings.Agent, m silltls.Material) (*sillwire.Listener, error) {
	cfg, err := m.Server(silltls.GatewayRole, sillwire.Protocol, silltls.AgentRole)
	if err != nil {
		return nil, err
	}
	return sillwire.Listen(string(s.Listen.Inner), cfg, m.Key)
}

// newEngine returns nil beside a plain service.
func newEngine(s *sillsettings.Agent) *sillengine.Client {
	if s.Target.Kind != sillbundle.ModelRoute {
		return nil
	}
	return sillengine.New(sillengine.Config{
		BaseURL:      s.Target.URL,
		OrderTimeout: s.Control.SwapTimeout.Duration(),
		CallTimeout:  engineCallTimeout,
	})
}

// maxEvidence bounds the crashing requests that one heartbeat tells of.
const maxEvidence = 8

func newSuspects() *sillcrash.SharedTracker {
	return sillcrash.NewSharedTracker(time.Now)
}

func newGate(s *sillsettings.Agent) *silllimit.Gate {
	return silllimit.NewGate(silllimit.GateConfig{
		Queue: silllimit.Config{
			MaxConcurrent: s.Target.MaxConcurrent,
			MaxWaiting:    s.Target.MaxQueued,
			RolloutFloor:  s.Target.RolloutFloor,
		},
		Now: time.Now,
	})
}

// newAgentConfig follows the configuration of the gateways; an agent never asks
// the platform's store for it.
func newAgentConfig(s *sillsettings.Agent, gate *silllimit.Gate, m *sillbundlestore.Metrics, log *zap.Logger) *sillbundlestore.Service {
	return sillbundlestore.NewService(sillbundlestore.ServiceConfig{
		Follower: sillbundlestore.FollowerConfig{
			Operators:        sillsettings.OperatorKeys(s.Operators),
			PeerSettleDelay:  sillbundlestore.DefaultPeerSettleDelay,
			UnconfirmedLimit: sillbundlestore.DefaultUnconfirmedLimit,
		},
		Now:      time.Now,
		Random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnChange: func(c *sillbundlestore.Snapshot) { followPool(c, s.Target.Pool, gate) },
		Log:      log,
		Metrics:  m,
	})
}

// followPool puts the bounds that the bundle gives the agent's pool in force.
func followPool(c *sillbundlestore.Snapshot, id sillid.PoolID, gate *silllimit.Gate) {
	if c.Index == nil {
		return
	}
	if pool := c.Index.Pool(id); pool != nil {
		gate.SetBounds(silllimit.Bounds{MaxConcurrent: pool.MaxConcurrent, RolloutFloor: pool.RolloutFloor})
	}
}

// agentParts is what the agent's traffic needs.
type agentParts struct {
	fx.In

	Settings *sillsettings.Agent
	ID       sillid.AgentID
	Listener *sillwire.Listener
	Engine   *sillengine.Client
	Gate     *silllimit.Gate
	Peer     *sillgossip.Peer
	Meter    *sillusage.Meter
	Suspects *sillcrash.SharedTracker
	Weights  *weights
	Metrics  *sillagent.Metrics
	Log      *zap.Logger
}

func newAgentPart(p agentParts) *sillagent.Agent {
	s := p.Settings
	return sillagent.New(sillagent.Config{
		ID:        p.ID,
		Target:    s.Target.ID,
		Instance:  s.Instance,
		Pool:      s.Target.Pool,
		Zone:      s.Zone,
		Kind:      s.Target.Kind,
		TargetURL: s.Target.URL,
		Listener:  p.Listener,
		Engine:    p.Engine,
		Gate:      p.Gate,
		Meter:     meterUse(p.Meter),
		OnPing: func(ping *sillwire.Ping, pong *sillwire.Pong) {
			pong.AskConfig = p.Peer.HandleDigest(ping.Config)
			sillcrash.LogChanges(p.Log, time.Now(), p.Suspects.Merge(ping.Suspicions), "ping", string(ping.Gateway))
			pong.Suspicions = p.Suspects.Export(maxEvidence)
			pong.Config = p.Peer.Digest()
			mark := p.Meter.DurableSequence()
			pong.Meter = mark.Agent
			pong.DurableSequence = mark.Sequence
			p.Weights.heartbeat(ping, pong)
		},
		SendConfig:    p.Peer.Send,
		ReceiveConfig: p.Peer.ReceivePushed,
		Weights: func(ctx context.Context, want *sillwire.FetchWeights, stream *quic.Stream) error {
			return p.Weights.runner.SendWeights(ctx, want, stream)
		},
		ReceivePlan:  p.Weights.receivePlan,
		WeightStatus: p.Weights.runner.HandleStatus,
		Suspects:     p.Suspects,
		Metrics:      p.Metrics,
		Log:          p.Log.Named("agent"),
		Now:          time.Now,
	})
}

// startOperatorPort serves metrics and health.
func (a *Agent) startOperatorPort(lc fx.Lifecycle, s *sillsettings.Agent, r *prometheus.Registry, agent *sillagent.Agent, l *sillwire.Listener, open *listening) error {
	srv, err := open.listen("metrics", sillserver.ControlLimits(open.descriptors), s.Listen.Metrics, sillsettings.ServerTLS{}, operatorHandler(r, func() error { return agentReady(agent) }))
	if err != nil {
		return err
	}
	a.Addresses = AgentAddresses{Inner: l.Addr().String(), Metrics: srv.Address()}
	appendServer(lc, srv)
	return nil
}

func appendServer(lc fx.Lifecycle, srv *server) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			srv.start(context.Background())
			return nil
		},
		OnStop: srv.stop,
	})
}

// notReadyError tells operators why a process takes no work.
type notReadyError struct{ reason string }

func (e *notReadyError) Error() string { return "not ready: " + e.reason }

func agentReady(a *sillagent.Agent) error {
	if state := a.State(); state != sillwire.Serving {
		return &notReadyError{reason: string(state)}
	}
	return nil
}

// startAgentConfig follows the configuration that gateways tell of.
func startAgentConfig(lc fx.Lifecycle, s *sillbundlestore.Service) {
	g := sillgroup.New(context.Background())
	lc.Append(fx.StartStopHook(func() { g.Go(s.Run) }, g.Stop))
}

// startAgent starts the traffic; a stop drains first.
func startAgent(lc fx.Lifecycle, s *sillsettings.Agent, a *sillagent.Agent, log *zap.Logger) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			a.Start(context.Background())
			return nil
		},
		OnStop: func(ctx context.Context) error {
			// The parts that stop after the traffic need the rest of the stop's time.
			ctx, cancel := context.WithTimeout(ctx, s.Control.DrainLimit.Duration())
			defer cancel()
			err := a.Drain(ctx, "the process stops")
			if err != nil {
				log.Named("agent").Warn("stopped with open runs", zap.Error(err))
			}
			a.Stop()
			return nil
		},
	})
}
