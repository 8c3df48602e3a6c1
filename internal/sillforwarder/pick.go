package sillforwarder

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// pick waits for a target, for a share of the latency objective at most. It prefers
// a target with a free slot to one that queues but is expected to respond in time.
// At the end of the wait it also accepts one in backoff. It does not wait if all targets
// of the pool leave, or if their limits allow none of them the request in time: none of
// them will accept the request.
func (f *Forwarder) pick(ctx context.Context, req *Request, tried map[sillid.TargetID]bool, p progress) (silltarget.Grant, bool) {
	query := silltarget.Query{
		Pool: req.Pool, Zone: f.cfg.Zone, Exclude: tried, MaxResponseTime: maxResponseTime(req, p, time.Now()), Class: req.class(),
	}
	if req.class() == sillrate.Background && f.cfg.Directory.AnyLimited(req.Pool) {
		return f.pickInBackground(ctx, req, query)
	}
	end := time.Now().Add(min(time.Duration(pickWaitShare*float64(req.Route.LatencyObjective)), time.Until(req.Deadline)))
	for {
		changed := f.cfg.Directory.Changed()
		for _, q := range [...]silltarget.Query{freeOnly(query), query} {
			if g, ok := f.pickPermitted(ctx, req, q); ok {
				return g, true
			}
		}
		until, limited := f.cfg.Directory.LimitedUntil(time.Now(), query)
		if limited && until.Before(f.limitDeadline(req)) && until.After(end) {
			end = until
		}
		if f.cfg.Directory.AllLeaving(req.Pool) || (limited && until.After(end)) {
			return silltarget.Grant{}, false
		}
		if !time.Now().Before(end) {
			query.IncludeBackingOff = true
			return f.pickPermitted(ctx, req, query)
		}
		if !awaitChange(ctx, changed, end) {
			return silltarget.Grant{}, false
		}
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

// limitDeadline returns the time until which a request waits for the limits of targets.
func (f *Forwarder) limitDeadline(req *Request) time.Time {
	return req.Arrived.Add(time.Duration(limitWaitShare * float64(req.Route.LatencyObjective)))
}

// pickInBackground waits until the deadline for a target with a free slot whose limit allows
// the request. It does not let the request queue at a target, where those of callers would
// wait behind it.
func (f *Forwarder) pickInBackground(ctx context.Context, req *Request, query silltarget.Query) (silltarget.Grant, bool) {
	for {
		if g, ok := f.pickPermitted(ctx, req, freeOnly(query)); ok {
			return g, true
		}
		now := time.Now()
		left := req.Deadline.Sub(now) - minRemaining
		if left <= 0 || f.cfg.Directory.AllLeaving(req.Pool) || !f.cfg.Directory.AnyEligible(now, query) {
			return silltarget.Grant{}, false
		}
		if !awaitChange(ctx, nil, now.Add(min(left, backgroundPoll))) {
			return silltarget.Grant{}, false
		}
	}
}

// pickPermitted picks a target and gets a permit if it names a limit. It passes over the
// targets for which there is none.
func (f *Forwarder) pickPermitted(ctx context.Context, req *Request, q silltarget.Query) (silltarget.Grant, bool) {
	for {
		g, ok := f.cfg.Directory.Pick(time.Now(), q)
		if !ok || !g.Limited {
			return g, ok
		}
		v := f.cfg.AcquirePermit(ctx, sillpermit.Ask{Run: g.Run(), Class: q.Class, Organisation: req.Organisation})
		if v.Granted {
			return g, true
		}
		now := time.Now()
		f.cfg.Directory.Release(now, g, silltarget.Abandoned)
		if ctx.Err() != nil {
			return silltarget.Grant{}, false
		}
		if v.OverShare {
			q.Exclude = silltarget.Excluding(q.Exclude, g.ID)
			continue
		}
		f.cfg.Directory.Deny(now, g.Run(), q.Class, v.RetryAfter)
	}
}

func freeOnly(q silltarget.Query) silltarget.Query {
	q.FreeOnly, q.MaxResponseTime = true, 0
	return q
}
