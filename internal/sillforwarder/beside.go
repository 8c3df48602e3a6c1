package sillforwarder

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// Score requests come in bursts, at services that also answer callers and serve in order of
// arrival. A burst that queued at the targets would make callers wait behind all of it. In pools
// with silltarget.ScoresBesideCallers it waits at its gateways instead. After a while its requests
// queue like those of callers, so that callers cannot starve them either.

const (
	// besideUtilisation is the utilisation up to which requests for which no caller waits are
	// sent to targets.
	besideUtilisation = 1
	// maxBesideWait is how long such a request waits for a target with room. A burst of all
	// score requests of a large job is worked off by then.
	maxBesideWait = time.Second
)

// besideCallers waits for a target that has room beside the requests of callers, and then
// waits as they do.
func (p *picker) besideCallers(ctx context.Context) (silltarget.Grant, bool) {
	end := time.Now().Add(min(maxBesideWait, time.Until(p.request.Deadline)/2))
	q := p.query
	q.MaxUtilisation = besideUtilisation
	for {
		if g, ok := p.permitted(ctx, q); ok {
			return g, true
		}
		now := time.Now()
		left := end.Sub(now)
		if !p.cfg.Directory.AnyAvailable(now, p.query) {
			return p.forCaller(ctx)
		}
		if left <= 0 {
			p.cfg.Metrics.besideTimeouts.Inc()
			p.cfg.Log.Info("No room beside the requests of callers; queueing.", p.request.field(), zap.String("pool", string(p.request.Pool)))
			return p.forCaller(ctx)
		}
		if !awaitChange(ctx, nil, now.Add(min(left, backgroundPoll))) {
			return silltarget.Grant{}, false
		}
	}
}
