package sillapp

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillfleet"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/internal/sillscaler"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// shardCheckInterval is the time between two checks for new pools and zones.
	shardCheckInterval = 2 * time.Second
	// listLag bounds how long an instance list may lag behind an order.
	listLag = 5 * time.Minute
	// orderInterface is the name under which the fencing numbers of the platform's
	// orders are issued.
	orderInterface = "orders"
)

// scaleParts holds the dependencies of the scaler.
type scaleParts struct {
	fx.In

	Settings  *sillsettings.Gateway
	Control   controlTasks
	Leases    *leases
	Table     *silltable.Store
	Instances *sillinstance.Client
	Config    *sillbundlestore.Service
	Fleet     *sillfleet.Fleet
	Metrics   *sillscaler.Metrics
	Log       *zap.Logger
}

// scaleModule provides the scaler, one task for each pool in each availability zone.
func scaleModule() fx.Option {
	return fx.Options(
		fx.Provide(sillscaler.NewMetrics),
		fx.Invoke(startScaler),
	)
}

func startScaler(lc fx.Lifecycle, p scaleParts) {
	if p.Settings.Control.ScaleInterval == 0 {
		return
	}
	s := &scaler{parts: p, started: make(map[shard]context.CancelFunc)}
	lc.Append(fx.StartHook(func() { p.Control.Go(s.run) }))
}

// shard is a pool in an availability zone.
type shard struct {
	pool sillid.PoolID
	zone sillid.ZoneID
}

func (s shard) String() string { return fmt.Sprintf("%s.%s", s.pool, s.zone) }

// scaler competes for the leases of the shards of the bundle in force.
type scaler struct {
	parts   scaleParts
	started map[shard]context.CancelFunc
}

func (s *scaler) run(ctx context.Context) {
	g := sillgroup.New(ctx)
	defer g.Stop()
	s.updateTasks(g)
	sillgroup.Every(ctx, shardCheckInterval, func(time.Time) { s.updateTasks(g) })
}

// updateTasks starts the tasks of new shards and stops those of removed shards.
func (s *scaler) updateTasks(g *sillgroup.Group) {
	index := s.parts.Config.Snapshot().Index
	if index == nil {
		return
	}
	wanted := make(map[shard]bool)
	for _, pool := range index.Bundle.Pools {
		for _, zone := range index.Bundle.Zones {
			wanted[shard{pool: pool.ID, zone: zone.ID}] = true
		}
	}
	for sh, cancel := range s.started {
		if !wanted[sh] {
			cancel()
			delete(s.started, sh)
		}
	}
	for sh := range wanted {
		if s.started[sh] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(g.Context())
		s.started[sh] = cancel
		runner := s.parts.Leases.runner(leaseTask{name: "scaler/" + sh.String(), run: s.task(sh)})
		g.Go(func(context.Context) { runner.Run(ctx) })
	}
}

// task returns the task that the lease holder of a shard runs.
func (s *scaler) task(sh shard) func(ctx context.Context, guard silllease.Guard) {
	p := s.parts
	timeout := p.Settings.Platform.Timeout.Duration()
	return func(ctx context.Context, guard silllease.Guard) {
		release := p.Fleet.ConnectAll(sh.pool, sh.zone)
		defer release()
		t := sillscaler.NewTask(sillscaler.TaskConfig{
			Shard:      sh.String(),
			Policy:     policy(p.Settings.Control.ScaleDownHold.Duration()),
			Store:      p.Table,
			Orders:     sillorder.Dial(sillcall.Config{BaseURL: p.Settings.Platform.URL, Timeout: timeout}),
			Instances:  p.Instances.List,
			Zones:      func() []sillscaler.ZoneConfig { return zoneConfigs(p.Config.Snapshot().Index, sh) },
			Loads:      func(sillid.PoolID, sillid.ZoneID) map[sillid.TargetID]sillscaler.Load { return loadsOf(p.Fleet, sh) },
			Drain:      func(ctx context.Context, target sillid.TargetID) (bool, error) { return drain(ctx, p.Fleet, target) },
			Fencing:    silllease.FencingNumbers{Store: p.Table, Name: orderInterface}.Next,
			NewID:      func() sillorder.ID { return sillorder.ID(sillid.Fresh("order")) },
			Now:        time.Now,
			Interval:   p.Settings.Control.ScaleInterval.Duration(),
			SettleTime: 2 * timeout,
			ListLag:    listLag,
			Logger:     p.Log.Named("scaler"),
			Metrics:    p.Metrics,
		})
		t.Run(ctx, guard)
	}
}

// cooldownDivisor divides the hold into the time for which no target stops after a
// change.
const cooldownDivisor = 3

// policy returns the default policy with the hold time from the settings.
func policy(downHold time.Duration) sillscaler.Policy {
	p := sillscaler.DefaultPolicy()
	p.ScaleDownStabilisation = downHold
	p.Cooldown = downHold / cooldownDivisor
	return p
}

// zoneConfigs returns the bundle's configuration of the shard; nil if it has none.
func zoneConfigs(index *sillbundle.Index, sh shard) []sillscaler.ZoneConfig {
	if index == nil || index.Pool(sh.pool) == nil {
		return nil
	}
	pool := index.Pool(sh.pool)
	return []sillscaler.ZoneConfig{{
		Pool:          pool.ID,
		Zone:          sh.zone,
		MaxConcurrent: pool.MaxConcurrent,
		MinTargets:    pool.MinPerZone,
		MaxTargets:    pool.MaxPerZone,
		Utilisation:   pool.Utilisation,
	}}
}

// loadsOf returns the last reported loads of the shard's targets.
func loadsOf(f *sillfleet.Fleet, sh shard) map[sillid.TargetID]sillscaler.Load {
	loads := make(map[sillid.TargetID]sillscaler.Load)
	for _, s := range fleetStatus(f) {
		if s.Pool != sh.pool || s.Zone != sh.zone || s.Pong == nil {
			continue
		}
		loads[s.Target] = sillscaler.Load{Running: s.Pong.Running, Queued: s.Pong.Queued, AsOf: s.LastPongAt}
	}
	return loads
}

// drain tells a target's agent to take no new work and returns whether every run has
// ended. A removed target counts as drained.
func drain(ctx context.Context, f *sillfleet.Fleet, target sillid.TargetID) (bool, error) {
	l := f.Link(target)
	if l == nil {
		return f.State(ctx, target) == sillmembership.Removed, nil
	}
	response, err := l.Drain(ctx, &sillwire.Drain{Reason: "the scaler stops the target"})
	if err != nil {
		return false, err
	}
	return response.Open == 0, nil
}
