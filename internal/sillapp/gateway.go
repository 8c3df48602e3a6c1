package sillapp

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silladmin"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/sillfleet"
	"github.com/wasabisill/wasabisill/internal/sillgateway"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Gateway is a wired gateway.
type Gateway struct {
	program
	// Addresses is set once the gateway has started.
	Addresses GatewayAddresses

	fleet    *sillfleet.Fleet
	stopping atomic.Bool
}

// Serving reports whether at least count targets of the pool take work.
func (g *Gateway) Serving(pool sillid.PoolID, count int) bool {
	return g.fleet.Serving(pool) >= count
}

// GatewayAddresses are the addresses that a started gateway got.
type GatewayAddresses struct {
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Metrics string `json:"metrics"`
}

// NewGateway wires a gateway from valid settings.
func NewGateway(settings *sillsettings.Gateway, log *zap.Logger) *Gateway {
	g := &Gateway{}
	g.limits = settings.Limits
	g.drain = settings.Control.StopNotice.Duration() + settings.Control.DrainLimit.Duration()
	g.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxLogger(log) }),
		fx.StopTimeout(g.drain+stopMargin),
		fx.Supply(settings, log),
		fx.Provide(
			newRegistry,
			newGatewayListening,
			newRegisterer,
			newGatewayID,
			newBackground,
			newControlTasks,
			newTable,
			newObjects,
			newInstances,
			newPublisher,
			newConfigService,
			newPeer,
			newPresence,
			newFleet,
			newDispatcher,
			newCallers,
			sillfleet.NewMetrics,
			silldispatch.NewMetrics,
			sillgateway.NewMetrics,
			sillbundlestore.NewMetrics,
			silladmin.NewMetrics,
			silllease.NewMetrics,
			newLeases,
			newSuspects,
			newKeeper,
			newPlans,
			newPlanMetrics,
		),
		fx.Invoke(
			g.startOperatorPort,
			startConfig,
			startKeeper,
			g.startFleet,
			startPlans,
			endExchanges,
			endControlTasks,
		),
		usageModule(),
		rolloutModule(),
		scaleModule(),
		fx.Invoke(
			g.startAdminPort,
			g.startCallersPort,
		),
	)
	return g
}

func newRegisterer(r *prometheus.Registry) prometheus.Registerer { return r }

func newGatewayID() sillid.GatewayID {
	return sillid.GatewayID(sillid.Fresh("gateway"))
}

// background runs the goroutines of the process that serve no single part.
type background struct {
	*sillgroup.Group
}

func newBackground(lc fx.Lifecycle) background {
	b := background{sillgroup.New(context.Background())}
	lc.Append(fx.StopHook(b.Stop))
	return b
}

// controlTasks runs the goroutines that compete for leases. They end before the links
// that their tasks use.
type controlTasks struct {
	*sillgroup.Group
}

func newControlTasks() controlTasks {
	return controlTasks{sillgroup.New(context.Background())}
}

func endControlTasks(lc fx.Lifecycle, c controlTasks) {
	lc.Append(fx.StopHook(c.Stop))
}

// startOperatorPort serves metrics and health.
func (g *Gateway) startOperatorPort(lc fx.Lifecycle, l *listening, s *sillsettings.Gateway, r *prometheus.Registry, c *sillbundlestore.Service) error {
	srv, err := l.listen("metrics", sillserver.ControlLimits(l.descriptors), s.Listen.Metrics, sillsettings.ServerTLS{}, operatorHandler(r, func() error { return g.ready(c) }))
	if err != nil {
		return err
	}
	g.Addresses.Metrics = srv.Address()
	appendServer(lc, srv)
	return nil
}

func (g *Gateway) ready(c *sillbundlestore.Service) error {
	if g.stopping.Load() {
		return &notReadyError{reason: "the gateway is stopping"}
	}
	if !c.Snapshot().Ready {
		return &notReadyError{reason: "no bundle yet; roll one out, or check the way to the platform and to the agents"}
	}
	return nil
}

// startCallersPort serves callers. It starts last and stops first, after the
// requests that run.
func (g *Gateway) startCallersPort(lc fx.Lifecycle, l *listening, s *sillsettings.Gateway, c *sillgateway.Gateway) error {
	srv, err := l.listen("callers", sillserver.CallerLimits(l.descriptors), s.Listen.Callers, s.Callers, c.Handler())
	if err != nil {
		return err
	}
	g.Addresses.Callers = srv.Address()
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			srv.start(context.Background())
			return nil
		},
		OnStop: func(ctx context.Context) error {
			srv.Drain()
			g.giveNotice(ctx, s.Control.StopNotice.Duration())
			// The parts that stop after the traffic need the rest of the stop's time.
			ctx, cancel := context.WithTimeout(ctx, s.Control.DrainLimit.Duration())
			defer cancel()
			return srv.stop(ctx)
		},
	})
	return nil
}

// giveNotice tells the balancer that the gateway is not ready and waits until
// it has had time to send its requests elsewhere.
func (g *Gateway) giveNotice(ctx context.Context, notice time.Duration) {
	g.stopping.Store(true)
	select {
	case <-ctx.Done():
	case <-time.After(notice):
	}
}
