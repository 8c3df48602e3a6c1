package sillapp

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillpresence"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// leases runs the control tasks of a gateway, each under a lease of its own.
type leases struct {
	parts leaseParts
}

// leaseParts holds the dependencies of the leases.
type leaseParts struct {
	fx.In

	Settings *sillsettings.Gateway
	ID       sillid.GatewayID
	Table    *silltable.Store
	Presence *sillpresence.Presence
	Metrics  *silllease.Metrics
	Log      *zap.Logger
}

func newLeases(p leaseParts) *leases {
	return &leases{parts: p}
}

// leaseTask is a control task with the name of its lease.
type leaseTask struct {
	name string
	run  func(ctx context.Context, guard silllease.Guard)
}

// The renewal interval and the margin of a lease are fractions of its duration.
const (
	renewDivisor  = 3
	marginDivisor = 6
)

// start competes for the lease of a task until the process stops, and runs the task
// while the lease is held.
func (l *leases) start(c controlTasks, t leaseTask) {
	c.Go(l.runner(t).Run)
}

// runner returns the runner that competes for the lease of a task.
func (l *leases) runner(t leaseTask) *silllease.Runner {
	p := l.parts
	duration := p.Settings.Control.Lease.Duration()
	return silllease.NewRunner(silllease.RunnerConfig{
		Lease: silllease.Config{
			Name:       t.name,
			Owner:      silllease.Owner(p.ID),
			Duration:   duration,
			Margin:     duration / marginDivisor,
			RenewEvery: duration / renewDivisor,
			PollEvery:  duration / renewDivisor,
			Random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}.WithDefaults(),
		Store:       p.Table,
		Now:         time.Now,
		Rank:        func() int { return silllease.Rank(t.name, p.ID, l.members()) },
		CallTimeout: p.Settings.Platform.Timeout.Duration(),
		SettleTime:  2 * p.Settings.Platform.Timeout.Duration(),
		Task:        t.run,
		Log:         p.Log,
		Metrics:     p.Metrics,
	})
}

func (l *leases) members() []sillid.GatewayID {
	list := l.parts.Presence.Gateways()
	ids := make([]sillid.GatewayID, len(list))
	for i, g := range list {
		ids[i] = g.ID
	}
	return ids
}
