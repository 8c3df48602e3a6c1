package sillapp

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillgateway"
	"github.com/wasabisill/wasabisill/internal/sillgossip"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/sillpresence"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// configParts holds the dependencies of the configuration service.
type configParts struct {
	fx.In

	Settings  *sillsettings.Gateway
	Table     *silltable.Store
	Objects   *sillobject.Store
	Publisher *sillbundlestore.Publisher
	Metrics   *sillbundlestore.Metrics
	Log       *zap.Logger
}

// configChanges signals changes of the configuration.
type configChanges struct {
	changed chan struct{}
}

func newConfigService(p configParts) (*sillbundlestore.Service, *configChanges) {
	changes := &configChanges{changed: make(chan struct{}, 1)}
	s := p.Settings
	service := sillbundlestore.NewService(sillbundlestore.ServiceConfig{
		Follower: sillbundlestore.FollowerConfig{
			Operators:        sillsettings.OperatorKeys(s.Operators),
			PeerSettleDelay:  sillbundlestore.DefaultPeerSettleDelay,
			UnconfirmedLimit: s.Control.UnconfirmedLimit.Duration(),
		},
		Table:        p.Table,
		Objects:      p.Objects,
		Publisher:    p.Publisher,
		Now:          time.Now,
		Random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		PollInterval: s.Control.BundlePoll.Duration(),
		CallTimeout:  s.Platform.Timeout.Duration(),
		OnChange:     func(*sillbundlestore.Snapshot) { changes.notify() },
		Log:          p.Log,
		Metrics:      p.Metrics,
	})
	return service, changes
}

// notify wakes the reader of changed; several changes may be merged into one signal.
func (c *configChanges) notify() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

func newPeer(s *sillbundlestore.Service, log *zap.Logger) *sillgossip.Peer {
	return sillgossip.New(sillgossip.Config{Service: s, Log: log.Named("gossip"), Now: time.Now})
}

func newPresence(s *sillsettings.Gateway, id sillid.GatewayID, t *silltable.Store, c *sillbundlestore.Service, log *zap.Logger) *sillpresence.Presence {
	return sillpresence.New(sillpresence.Config{
		ID:      id,
		Zone:    s.Zone,
		Table:   t,
		Version: func() sillid.BundleVersion { return c.Snapshot().Version },
		Log:     log.Named("presence"),
		Now:     time.Now,
	})
}

// access returns the part of the configuration that the callers' API uses.
func access(s *sillbundlestore.Snapshot) sillgateway.Access {
	a := sillgateway.Access{
		Withdrawn: func(hash sillbundle.KeyHash) bool {
			_, ok := s.Withdrawn[hash]
			return ok
		},
		Unconfirmed: !s.Fresh(time.Now()),
	}
	if s.Ready {
		a.Index = s.Index
	}
	return a
}

// startConfig follows the accepted configuration and ends requests whose keys
// are withdrawn.
func startConfig(lc fx.Lifecycle, b background, s *sillbundlestore.Service, c *configChanges, g *sillgateway.Gateway, p *sillpresence.Presence) {
	lc.Append(fx.StartHook(func() {
		b.Go(s.Run)
		b.Go(p.Run)
		b.Go(func(ctx context.Context) { watchConfig(ctx, c, g) })
	}))
}

func watchConfig(ctx context.Context, c *configChanges, g *sillgateway.Gateway) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.changed:
			g.EndWithdrawn()
		}
	}
}
