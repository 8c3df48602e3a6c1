// Package sillpermit keeps the limits on requests a second that targets name, over all
// gateways. One gateway grants the permits for a run of a target: a token bucket there is
// the whole limit, and the gateways that have requests ask it for one permit each.
package sillpermit

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Ask asks for a permit to send one request.
type Ask struct {
	Run   silltarget.Run
	Class sillrate.Class
	// Organisation is empty for requests that belong to no organisation.
	Organisation sillid.OrganisationID
	// Forced is for requests that are sent in any case. They are counted and never denied.
	Forced bool
}

// Verdict is the answer to an Ask.
type Verdict struct {
	Granted bool
	// RetryAfter is the delay after which a denied request may ask again.
	RetryAfter time.Duration
	// OverShare is whether a request was denied because its organisation had more permits
	// than others that wait. Requests of others may get one.
	OverShare bool
}

// runRetention is how long the bucket of a run is kept for which nobody asks.
const runRetention = time.Minute

// granter decides on the permits of the runs that this process grants. It is not safe for
// concurrent use.
type granter struct {
	runs map[silltarget.Run]*grantedRun
}

// grantedRun is a run for which this process grants permits.
type grantedRun struct {
	bucket *sillrate.Bucket
	shares *shares
	// askedAt is when a permit was last asked for.
	askedAt time.Time
}

func newGranter() *granter { return &granter{runs: make(map[silltarget.Run]*grantedRun)} }

// decide decides on a permit under a limit.
func (g *granter) decide(now time.Time, a Ask, limit sillrate.PerSecond) Verdict {
	r := g.run(now, a.Run, limit)
	switch {
	case a.Forced:
		r.bucket.Debit(now)
		return Verdict{Granted: true}
	case a.Class == sillrate.Interactive && r.bucket.Scarce(now) && r.shares.isOver(now, a.Organisation):
		r.shares.recordDenial(now, a.Organisation)
		return Verdict{OverShare: true, RetryAfter: shareRetryAfter}
	}
	granted, retryAfter := r.bucket.Take(now, a.Class)
	switch {
	case a.Class != sillrate.Interactive:
	case granted:
		r.shares.recordGrant(now, a.Organisation)
	default:
		r.shares.recordDenial(now, a.Organisation)
	}
	return Verdict{Granted: granted, RetryAfter: retryAfter}
}

// run returns the state of a run with the limit in force.
func (g *granter) run(now time.Time, run silltarget.Run, limit sillrate.PerSecond) *grantedRun {
	r := g.runs[run]
	if r == nil {
		g.trim(now)
		r = &grantedRun{bucket: sillrate.NewBucket(now, limit), shares: newShares()}
		g.runs[run] = r
	}
	r.askedAt = now
	if r.bucket.Rate() != limit {
		r.bucket.SetRate(now, limit)
	}
	return r
}

// trim drops the runs for which nobody asks any more.
func (g *granter) trim(now time.Time) {
	for run, r := range g.runs {
		if now.Sub(r.askedAt) >= runRetention {
			delete(g.runs, run)
		}
	}
}
