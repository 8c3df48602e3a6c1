package sillapp

import (
	"context"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillfleet"
	"github.com/wasabisill/wasabisill/internal/sillgossip"
	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/sillpresence"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltls"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// fleetParts holds the dependencies of the fleet.
type fleetParts struct {
	fx.In

	Settings   *sillsettings.Gateway
	ID         sillid.GatewayID
	Background background
	Instances  *sillinstance.Client
	Presence   *sillpresence.Presence
	Peer       *sillgossip.Peer
	Backup     *recordBackup
	Plans      *plans
	Suspects   *sillcrash.SharedTracker
	Metrics    *sillfleet.Metrics
	Log        *zap.Logger
}

func newFleet(p fleetParts) (*sillfleet.Fleet, error) {
	s := p.Settings
	material, err := silltls.Load(s.Inner.AuthorityFile, s.Inner.CertificateFile, s.Inner.KeyFile)
	if err != nil {
		return nil, err
	}
	inner, err := material.Client(silltls.AgentRole, sillwire.Protocol)
	if err != nil {
		return nil, err
	}
	return sillfleet.New(sillfleet.Config{
		Gateway:      p.ID,
		Zone:         s.Zone,
		Subset:       s.Control.Subset,
		TLS:          inner,
		Instances:    listInstances(p.Instances),
		InstancePoll: s.Control.InstancePoll.Duration(),
		Gateways:     func() []sillmembership.Gateway { return members(p.Presence.Gateways()) },
		Ping: func() *sillwire.Ping {
			return &sillwire.Ping{Gateway: p.ID, Config: p.Peer.Digest(), Suspicions: p.Suspects.Export(maxEvidence), EndedTargets: p.Plans.endedTargets()}
		},
		OnPong: func(l *silllink.Link, pong *sillwire.Pong) {
			p.Peer.HandlePong(p.Background.Group, l, pong)
			p.Plans.pushMissing(p.Background.Group, l, pong)
			p.Backup.handlePong(time.Now(), pong)
			sillcrash.LogChanges(p.Log, time.Now(), p.Suspects.Merge(pong.Suspicions), "pong", l.Address())
		},
		Metrics: p.Metrics,
		Log:     p.Log.Named("fleet"),
		Now:     time.Now,
	}), nil
}

func members(list []sillpresence.Gateway) []sillmembership.Gateway {
	gateways := make([]sillmembership.Gateway, len(list))
	for i, g := range list {
		gateways[i] = sillmembership.Gateway{ID: g.ID, Zone: g.Zone}
	}
	return gateways
}

func (g *Gateway) startFleet(lc fx.Lifecycle, f *sillfleet.Fleet) {
	g.fleet = f
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			f.Start(context.Background())
			return nil
		},
		OnStop: func(context.Context) error {
			f.Stop()
			return nil
		},
	})
}
