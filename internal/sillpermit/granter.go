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
	// Cold is set if the target may be cold.
	Cold *silltarget.ColdGrant
}

// Verdict is the answer to an Ask.
type Verdict struct {
	Granted bool
	// RetryAfter is the delay after which a denied request may ask again.
	RetryAfter time.Duration
	// OverShare is whether a request was denied because its organisation had more permits
	// than others that wait. Requests of others may get one.
	OverShare bool
	// AskedAt is when the permit was asked for.
	AskedAt time.Time
}

// runRetention is how long the bucket of a run is kept for which nobody asks.
const runRetention = time.Minute

// coldRetention is how long the tokens for a cold target are kept for which nobody asks. It
// may have been warm in between, with requests that took no tokens.
const coldRetention = 5 * time.Second

// granter decides on the permits of the runs that this process grants. It is not safe for
// concurrent use.
type granter struct {
	runs map[silltarget.Run]*grantedRun
}

// grantedRun is a run for which this process grants permits.
type grantedRun struct {
	// bucket is nil if the run names no limit, and cold if it was never taken for cold.
	bucket, cold *sillrate.Bucket
	shares       *shares
	// askedAt is when a permit was last asked for.
	askedAt time.Time
	// coldAskedAt is when a permit for the target was last asked for while it may have been
	// cold.
	coldAskedAt time.Time
}

func newGrantedRun() *grantedRun { return &grantedRun{shares: newShares()} }

// copy returns a copy whose tokens can be looked at without a change of the run. The shares are
// those of the run.
func (r *grantedRun) copy() *grantedRun {
	copied := *r
	if r.bucket != nil {
		bucket := *r.bucket
		copied.bucket = &bucket
	}
	if r.cold != nil {
		cold := *r.cold
		copied.cold = &cold
	}
	return &copied
}

func newGranter() *granter { return &granter{runs: make(map[silltarget.Run]*grantedRun)} }

// decide decides on a permit under a limit, 0 for none, and the allowance of a target that
// may be cold, nil for one that is warm. At least one of them is set.
func (g *granter) decide(now time.Time, a Ask, limit sillrate.PerSecond, cold *sillrate.Allowance) Verdict {
	r := g.run(now, a.Run)
	buckets := r.buckets(now, limit, cold)
	switch {
	case a.Forced:
		for _, b := range buckets {
			b.Debit(now)
		}
		return Verdict{Granted: true}
	case a.Class == sillrate.Interactive && isScarce(now, buckets) && r.shares.isOver(now, a.Organisation):
		r.shares.recordDenial(now, a.Organisation)
		return Verdict{OverShare: true, RetryAfter: shareRetryAfter}
	}
	granted, retryAfter := takeAll(now, buckets, a.Class)
	switch {
	case a.Class != sillrate.Interactive:
	case granted:
		r.shares.recordGrant(now, a.Organisation)
	default:
		r.shares.recordDenial(now, a.Organisation)
	}
	return Verdict{Granted: granted, RetryAfter: retryAfter}
}

// buckets returns the buckets of which a request needs a token each.
func (r *grantedRun) buckets(now time.Time, limit sillrate.PerSecond, cold *sillrate.Allowance) []*sillrate.Bucket {
	var list []*sillrate.Bucket
	if limit > 0 {
		if r.bucket == nil {
			r.bucket = sillrate.NewBucket(now, limit)
		}
		if r.bucket.Rate() != limit {
			r.bucket.SetRate(now, limit)
		}
		list = append(list, r.bucket)
	}
	if cold != nil {
		if r.cold == nil || now.Sub(r.coldAskedAt) >= coldRetention {
			r.cold = sillrate.NewColdBucket(now, *cold)
		}
		if r.cold.Rate() != cold.Rate {
			r.cold.SetRate(now, cold.Rate)
		}
		r.coldAskedAt = now
		list = append(list, r.cold)
	}
	return list
}

func isScarce(now time.Time, buckets []*sillrate.Bucket) bool {
	for _, b := range buckets {
		if b.Scarce(now) {
			return true
		}
	}
	return false
}

// takeAll takes a token of each bucket, or none.
func takeAll(now time.Time, buckets []*sillrate.Bucket, c sillrate.Class) (granted bool, retryAfter time.Duration) {
	for i, b := range buckets {
		ok, after := b.Take(now, c)
		if ok {
			continue
		}
		for _, taken := range buckets[:i] {
			taken.Refund()
		}
		return false, after
	}
	return true, 0
}

// run returns the state of a run.
func (g *granter) run(now time.Time, run silltarget.Run) *grantedRun {
	r := g.runs[run]
	if r == nil {
		g.trim(now)
		r = newGrantedRun()
		g.runs[run] = r
	}
	r.askedAt = now
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
