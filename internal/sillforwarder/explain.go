package sillforwarder

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// query selects the targets for the next attempt of a request.
func (f *Forwarder) query(now time.Time, req *Request, tried map[sillid.TargetID]bool, p progress) silltarget.Query {
	return silltarget.Query{
		Pool: req.Pool, Homes: req.Homes, Zone: f.cfg.Zone, Exclude: tried, MaxResponseTime: maxResponseTime(req, p, now), Class: req.class(),
		Batched: req.Route.Kind == sillcatalog.Stream,
	}
}

// Action is what a forwarder would do with a request.
type Action string

const (
	// Send is for requests that would be sent to a target, once it has a permit if the
	// target names a limit.
	Send Action = "send"
	// Wait is for requests that would wait for a target.
	Wait Action = "wait"
	// Refuse is for requests that would be refused at once.
	Refuse Action = "refuse"
)

// Decision is what a forwarder would do with a request, and why.
type Decision struct {
	Action Action
	// Target is where the request would be sent.
	Target sillid.TargetID
	// MaxWait is how long the request would wait at most.
	MaxWait time.Duration
	// Refusal is the refusal of a request that would be refused.
	Refusal *Refusal
	// Candidates are the targets of the request's pool in the order of preference.
	Candidates []silltarget.Candidate
}

// Explain returns what would become of a caller's request that arrived now. It sends, counts
// and reserves nothing. Crash evidence depends on the body; it is looked at if the fingerprint of
// the content is known, and content is nil otherwise.
func (f *Forwarder) Explain(now time.Time, req *Request, content *sillcrash.Fingerprint) Decision {
	var p progress
	remaining := req.Deadline.Sub(now)
	q := f.query(now, req, nil, p)
	all := f.cfg.Directory.Explain(now, q)
	if nextStep(req.Route, p, remaining) == abandon {
		return Decision{Action: Refuse, Refusal: newRefusal(p, remaining), Candidates: all}
	}
	if content != nil {
		p.content = *content
		if problem := f.crashSuspicion(req, p); problem != nil {
			return Decision{Action: Refuse, Refusal: &Refusal{Reason: CrashSuspect, NotRun: true, RetryAfter: problem.RetryAfter}, Candidates: all}
		}
	}
	for _, candidates := range [][]silltarget.Candidate{f.cfg.Directory.Explain(now, freeOnly(q)), all} {
		if len(candidates) > 0 && candidates[0].Exclusion == silltarget.NotExcluded {
			return Decision{Action: Send, Target: candidates[0].ID, Candidates: candidates}
		}
	}
	picker := &picker{Forwarder: f, request: req, query: q}
	end, ok := picker.waitEnd(now, picker.firstEnd(now))
	if !ok {
		return Decision{Action: Refuse, Refusal: f.setRetryAfter(req, newRefusal(p, remaining)), Candidates: all}
	}
	return Decision{Action: Wait, MaxWait: end.Sub(now), Candidates: all}
}

// firstEnd returns the time until which a caller's request waits for a target, apart from
// limits.
func (p *picker) firstEnd(now time.Time) time.Time {
	wait := time.Duration(pickWaitShare * float64(p.request.Route.LatencyObjective))
	return now.Add(min(wait, p.request.Deadline.Sub(now)))
}

// waitEnd returns the time until which a caller's request waits for a target, from the end of
// its wait so far. It returns false if it is not to wait.
func (p *picker) waitEnd(now, end time.Time) (time.Time, bool) {
	until, limited := p.cfg.Directory.LimitedUntil(now, p.query)
	if limited && until.Before(p.limitDeadline()) && until.After(end) {
		end = until
	}
	if p.cfg.Directory.AllLeaving(p.request.Pool, p.request.Homes) || (limited && until.After(end)) {
		return end, false
	}
	return end, true
}
