package sillfleet

import (
	"context"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// reconcile opens missing links, closes those that are no longer wanted and updates
// the choosers.
func (f *Fleet) reconcile(ctx context.Context) {
	now := f.cfg.Now()
	f.view.SetGateways(f.cfg.Gateways())
	f.view.SetSubset(max(minPoolSubset, f.cfg.Subset/max(1, len(f.choosers))))
	wanted := f.view.Wanted(now, f.connectsAll)
	f.retireUnwanted(wanted)
	pools := make(map[sillid.PoolID]bool)
	for _, p := range wanted {
		pools[p.Pool] = true
		if p.Address == "" || f.links[p.Target] != nil {
			continue
		}
		f.links[p.Target] = f.openLink(ctx, p)
	}
	for pool := range pools {
		f.ensureChooser(pool)
	}
	for pool, c := range f.choosers {
		targets := f.view.Routable(now, pool)
		c.Update(now, targets)
		f.serving[pool] = len(targets)
		f.loads[pool] = loadOf(targets)
	}
	f.publish()
	f.countTargets(wanted)
}

// retireUnwanted retires links to targets that left the subset or changed their address. They
// close once their requests have ended.
func (f *Fleet) retireUnwanted(wanted []sillmembership.Peer) {
	address := make(map[sillid.TargetID]string, len(wanted))
	for _, p := range wanted {
		address[p.Target] = p.Address
	}
	for target, l := range f.links {
		a, ok := address[target]
		if ok && (a == "" || a == l.Address()) {
			continue
		}
		delete(f.links, target)
		f.group.Go(l.Retire)
	}
}

func (f *Fleet) openLink(ctx context.Context, p sillmembership.Peer) *silllink.Link {
	target := p.Target
	return silllink.New(ctx, silllink.Config{
		Address: p.Address,
		TLS:     f.cfg.TLS,
		Ping:    f.cfg.Ping,
		OnPong: func(l *silllink.Link, pong *sillwire.Pong) {
			if pong.Target != target {
				// Another agent has reused the address; the instance list will have the
				// target's new one.
				f.enqueue(pathFailed{target: target})
				return
			}
			f.enqueue(pongReceived{pong: pong})
			f.cfg.OnPong(l, pong)
		},
		OnLost: func(_ *silllink.Link, err error) {
			f.cfg.Metrics.ConnectionsLost.Inc()
			f.cfg.Log.Debug("lost an agent", zap.String("target", string(target)), zap.Error(err))
			f.enqueue(pathFailed{target: target})
		},
		Log: f.cfg.Log,
	})
}

func (f *Fleet) ensureChooser(pool sillid.PoolID) {
	if f.choosers[pool] != nil {
		return
	}
	f.choosers[pool] = sillroute.NewChooser(sillroute.Config{
		Zone: f.cfg.Zone,
		Ejected: func(target sillid.TargetID, reason sillroute.EjectReason) {
			f.cfg.Metrics.Ejections.WithLabelValues(string(reason)).Inc()
			f.cfg.Log.Warn("ejected a target", zap.String("target", string(target)), zap.String("reason", string(reason)))
		},
	})
}
