package sillforwarder

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// picker picks a target for one attempt of a request.
type picker struct {
	*Forwarder
	request *Request
	query   silltarget.Query
}

// pick waits for a target, for a share of the latency objective at most. It prefers
// a target with a free slot to one that queues but is expected to respond in time.
// At the end of the wait it also accepts one in backoff. It does not wait if all targets
// of the pool leave, or if their limits allow none of them the request in time: none of
// them will accept the request.
func (f *Forwarder) pick(ctx context.Context, req *Request, tried map[sillid.TargetID]bool, p progress) (silltarget.Grant, bool) {
	picker := &picker{Forwarder: f, request: req, query: f.query(time.Now(), req, tried, p)}
	if req.class() == sillrate.Background && f.cfg.Directory.AnyLimited(req.Pool) {
		return picker.inBackground(ctx)
	}
	if req.class() == sillrate.Background && picker.has(silltarget.ScoresBesideCallers) {
		return picker.besideCallers(ctx)
	}
	return picker.forCaller(ctx)
}

// has returns whether the pool of the request has a behaviour.
func (p *picker) has(b silltarget.Behaviour) bool {
	return p.cfg.Directory.Switch(p.request.Pool).On(b)
}

// forCaller waits as pick says, in the order of the pool's queue.
func (p *picker) forCaller(ctx context.Context) (silltarget.Grant, bool) {
	end := p.firstEnd(time.Now())
	w := newWait(p)
	for {
		changed := p.cfg.Directory.Changed()
		if g, ok := w.take(changed); ok {
			if permitted, ok := p.permit(ctx, g); ok {
				return w.finish(permitted, waitServed)
			}
			if ctx.Err() != nil {
				return w.finish(silltarget.Grant{}, waitCancelled)
			}
			continue
		}
		if w.displaced() {
			return w.finish(silltarget.Grant{}, waitDisplaced)
		}
		var ok bool
		if end, ok = p.waitEnd(time.Now(), end); !ok {
			return w.stop(ctx, waitRefused)
		}
		if !time.Now().Before(end) {
			return p.atEnd(ctx, w)
		}
		if !w.await(ctx, changed, end) {
			return w.stop(ctx, waitCancelled)
		}
	}
}

// atEnd ends a wait whose time is over: it also accepts a target in backoff.
func (p *picker) atEnd(ctx context.Context, w *wait) (silltarget.Grant, bool) {
	if g, ok := w.stop(ctx, waitExpired); ok {
		return g, true
	}
	p.query.IncludeBackingOff = true
	return p.permitted(ctx, p.query)
}

// limitDeadline returns the time until which a caller's request waits for the limits of
// targets.
func (p *picker) limitDeadline() time.Time {
	return p.request.Arrived.Add(time.Duration(limitWaitShare * float64(p.request.Route.LatencyObjective)))
}

// inBackground waits until the deadline for a target with a free slot whose limit allows the
// request. It does not let the request queue at a target, where those of callers would wait
// behind it.
func (p *picker) inBackground(ctx context.Context) (silltarget.Grant, bool) {
	d := p.cfg.Directory
	for {
		if g, ok := p.permitted(ctx, freeOnly(p.query)); ok {
			return g, true
		}
		now := time.Now()
		left := p.request.Deadline.Sub(now) - minRemaining
		if left <= 0 || d.AllLeaving(p.request.Pool, p.request.Homes) || !d.AnyEligible(now, p.query) {
			return silltarget.Grant{}, false
		}
		if !awaitChange(ctx, nil, now.Add(min(left, backgroundPoll))) {
			return silltarget.Grant{}, false
		}
	}
}

// permitted picks a target and gets a permit if it names a limit. It passes over the
// targets for which there is none.
func (p *picker) permitted(ctx context.Context, q silltarget.Query) (silltarget.Grant, bool) {
	for {
		q.Exclude = p.query.Exclude
		g, ok := p.cfg.Directory.Pick(time.Now(), q)
		if !ok {
			return silltarget.Grant{}, false
		}
		if permitted, ok := p.permit(ctx, g); ok {
			return permitted, true
		}
		if ctx.Err() != nil {
			return silltarget.Grant{}, false
		}
	}
}

// permit gets a permit for a grant if its target names a limit or may be cold. If there is
// none, it releases the grant and keeps the request from asking there again for a while.
func (p *picker) permit(ctx context.Context, g silltarget.Grant) (silltarget.Grant, bool) {
	if !g.Limited {
		return g, true
	}
	v := p.cfg.AcquirePermit(ctx, sillpermit.Ask{Run: g.Run(), Class: p.query.Class, Organisation: p.request.Organisation, Cold: g.Cold})
	if v.Granted {
		return g.WithPermit(v.AskedAt), true
	}
	now := time.Now()
	p.cfg.Directory.Release(now, g, silltarget.Abandoned)
	switch {
	case ctx.Err() != nil:
	case v.OverShare:
		p.query.Exclude = silltarget.Excluding(p.query.Exclude, g.ID)
	default:
		p.cfg.Directory.Deny(now, g.Run(), p.query.Class, v.RetryAfter)
	}
	return silltarget.Grant{}, false
}

// awaitChange waits until a channel is closed, or for a time. It returns false if ctx ends
// before.
func awaitChange(ctx context.Context, changed <-chan struct{}, end time.Time) bool {
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func freeOnly(q silltarget.Query) silltarget.Query {
	q.FreeOnly, q.MaxResponseTime = true, 0
	return q
}
