package sillapp

import (
	"context"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silladmin"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillfleet"
	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/sillpresence"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// statusTimeout bounds a read of the fleet's status or of the list of gateways.
const statusTimeout = time.Second

// adminParts holds the dependencies of the administration API.
type adminParts struct {
	fx.In

	Settings  *sillsettings.Gateway
	Publisher *sillbundlestore.Publisher
	Config    *sillbundlestore.Service
	Presence  *sillpresence.Presence
	Fleet     *sillfleet.Fleet
	Metrics   *silladmin.Metrics
	Listening *listening
	Log       *zap.Logger
}

// startAdminPort serves the administration API.
func (g *Gateway) startAdminPort(lc fx.Lifecycle, p adminParts) error {
	s := p.Settings
	credentials := make([]silladmin.Credential, len(s.Credentials))
	for i, c := range s.Credentials {
		credentials[i] = silladmin.Credential{Operator: sillbundle.OperatorName(c.Name), TokenHash: c.Hash}
	}
	h := silladmin.New(silladmin.Config{
		Publisher:   p.Publisher,
		Credentials: credentials,
		Operators:   sillsettings.OperatorKeys(s.Operators),
		Apply: func(v sillid.BundleVersion, signed *sillbundle.Signed) {
			// A version that is not newer is in force already.
			_ = p.Config.Offer(v, signed)
		},
		Withdraw:  p.Config.SubmitWithdrawal,
		Processes: func() []silladmin.ProcessStatus { return processes(freshGateways(p.Presence), fleetStatus(p.Fleet)) },
		Targets:   func() []silladmin.TargetStatus { return targets(fleetStatus(p.Fleet)) },
		Drain: func(ctx context.Context, target sillid.TargetID) error {
			return drainTarget(ctx, p.Fleet, target)
		},
		Log:     p.Log,
		Metrics: p.Metrics,
	})
	srv, err := p.Listening.listen("admin", sillserver.ControlLimits(p.Listening.descriptors), s.Listen.Admin, s.Admin, h)
	if err != nil {
		return err
	}
	g.Addresses.Admin = srv.Address()
	appendServer(lc, srv)
	return nil
}

// freshGateways reads the list of gateways; during an outage of the store it returns
// the last known list.
func freshGateways(p *sillpresence.Presence) []sillpresence.Gateway {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	// The age of each entry shows whether the list is old.
	_ = p.Refresh(ctx)
	return p.Gateways()
}

func fleetStatus(f *sillfleet.Fleet) []sillfleet.Status {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return f.Status(ctx)
}

// processes returns the status of the gateways and of the agents in this gateway's
// subset.
func processes(gateways []sillpresence.Gateway, fleet []sillfleet.Status) []silladmin.ProcessStatus {
	var list []silladmin.ProcessStatus
	for _, g := range gateways {
		list = append(list, silladmin.ProcessStatus{
			Process:        string(g.ID),
			Role:           "gateway",
			Zone:           g.Zone,
			Version:        g.Version,
			ConfirmedAgeMS: -1,
			SeenAgeMS:      time.Since(time.UnixMilli(g.WrittenAt)).Milliseconds(),
		})
	}
	for _, s := range fleet {
		if s.Pong == nil {
			continue
		}
		age := int64(-1)
		if s.Pong.Config.Confirmed {
			age = s.Pong.Config.AgeMillis
		}
		list = append(list, silladmin.ProcessStatus{
			Process:        string(s.Pong.Agent),
			Role:           "agent",
			Zone:           s.Zone,
			Version:        s.Pong.Config.Version,
			ConfirmedAgeMS: age,
		})
	}
	return list
}

// targetStates maps states of the membership view to those of the administration API.
var targetStates = map[sillmembership.State]string{
	sillmembership.Serving:    "live",
	sillmembership.Draining:   "draining",
	sillmembership.Connecting: "unreachable",
	sillmembership.Suspect:    "unreachable",
	sillmembership.Removed:    "unreachable",
}

func targets(fleet []sillfleet.Status) []silladmin.TargetStatus {
	list := make([]silladmin.TargetStatus, len(fleet))
	for i, s := range fleet {
		list[i] = silladmin.TargetStatus{Target: s.Target, Pool: s.Pool, Zone: s.Zone, State: targetStates[s.State]}
		if s.Pong != nil {
			list[i].Running = s.Pong.Running + s.Pong.Queued
		}
	}
	return list
}

// drainTarget tells a target's agent to take no new work.
func drainTarget(ctx context.Context, f *sillfleet.Fleet, target sillid.TargetID) error {
	l := f.Link(target)
	if l == nil {
		return silladmin.ErrNoTarget
	}
	_, err := l.Drain(ctx, &sillwire.Drain{Reason: "an operator drains the target"})
	return err
}
