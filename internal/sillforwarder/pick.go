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
	return picker.forCaller(ctx)
}

// forCaller waits as pick says.
func (p *picker) forCaller(ctx context.Context) (silltarget.Grant, bool) {
	end := p.firstEnd(time.Now())
	for {
		changed := p.cfg.Directory.Changed()
		if g, ok := p.permitted(ctx, freeOnly(p.query)); ok {
			return g, true
		}
		if g, ok := p.permitted(ctx, p.query); ok {
			return g, true
		}
		var ok bool
		if end, ok = p.waitEnd(time.Now(), end); !ok {
			return silltarget.Grant{}, false
		}
		if !time.Now().Before(end) {
			p.query.IncludeBackingOff = true
			return p.permitted(ctx, p.query)
		}
		if !awaitChange(ctx, changed, end) {
			return silltarget.Grant{}, false
		}
	}
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
		if left <= 0 || d.AllLeaving(p.request.Pool) || !d.AnyEligible(now, p.query) {
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
		g, ok := p.cfg.Directory.Pick(time.Now(), q)
		if !ok || !g.Limited {
			return g, ok
		}
		v := p.cfg.AcquirePermit(ctx, sillpermit.Ask{Run: g.Run(), Class: q.Class, Organisation: p.request.Organisation})
		if v.Granted {
			return g, true
		}
		now := time.Now()
		p.cfg.Directory.Release(now, g, silltarget.Abandoned)
		if ctx.Err() != nil {
			return silltarget.Grant{}, false
		}
		if v.OverShare {
			p.query.Exclude = silltarget.Excluding(p.query.Exclude, g.ID)
			q.Exclude = p.query.Exclude
			continue
		}
		p.cfg.Directory.Deny(now, g.Run(), q.Class, v.RetryAfter)
	}
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
