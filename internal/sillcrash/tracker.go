// Package sillcrash detects requests that crash the targets that run them
// (poison requests).
package sillcrash

import (
	"bytes"
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// A request is refused once several runs of targets have crashed under it, one after
// the other; a pool may have a single target, which starts again. Crashes are one after the
// other if the request started on the target no earlier than the previous one crashed: a
// zone that fails while many equal requests run counts once. The score is the highest total
// weight of such crashes.
//
// Of the requests that a target ran when it crashed, those with the highest
// score before the crash are the likely cause and get the full weight; the
// others get a lower weight. A success clears a request.

const (
	// refuseScore is the score from which a request is refused.
	refuseScore = 3.0
	// bystanderWeight is the weight of a crash for which another request is the
	// more likely cause.
	bystanderWeight = 0.5
	// refusePeriod is how long a request is refused after its last crash. After
	// that it may run once more.
	refusePeriod = 10 * time.Minute
	// crashExpiry is the age at which a crash no longer counts and is removed.
	crashExpiry = time.Hour
	// maxCrashes is the maximum number of crashes kept for one request.
	maxCrashes = 8
	// maxRequests is the maximum number of requests kept.
	maxRequests = 4096
	// recentPeriod is how long evidence on a request that is far from being refused is
	// exported after its last change.
	recentPeriod = 10 * time.Second
)

// RunningRequest is a request that a target was running when it crashed.
type RunningRequest struct {
	Fingerprint Fingerprint
	// Started is when the target received the request.
	Started time.Time
}

// Crash is the crash of one run of a target while it ran a request.
type Crash struct {
	Target sillid.TargetID `cbor:"1,keyasint"`
	// Run identifies the run of the engine or service, or of the agent where
	// the target has none.
	Run string `cbor:"2,keyasint"`
	// At is when the target crashed, and Started when the request started
	// there.
	At      time.Time `cbor:"3,keyasint"`
	Started time.Time `cbor:"4,keyasint"`
	// Weight is above 0 and at most 1.
	Weight float64 `cbor:"5,keyasint"`
}

// Evidence is the evidence on one request that is exchanged with other
// processes.
type Evidence struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crashes     []Crash     `cbor:"2,keyasint"`
	// Cleared is when the request last succeeded; crashes up to that time do
	// not count.
	Cleared time.Time `cbor:"3,keyasint"`
}

// Tracker records the crashes of each request. It is not safe for concurrent
// use.
type Tracker struct {
	requests map[Fingerprint]*suspect
}

// NewTracker returns a tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{requests: make(map[Fingerprint]*suspect)}
}

// RecordCrash records that a run of a target crashed while it ran the requests.
func (t *Tracker) RecordCrash(now time.Time, target sillid.TargetID, run string, running []RunningRequest) {
	highest := 0.0
	for _, r := range running {
		highest = max(highest, t.score(now, r.Fingerprint))
	}
	for _, r := range running {
		c := Crash{Target: target, Run: run, At: now, Started: r.Started, Weight: 1}
		if t.score(now, r.Fingerprint) < highest {
			c.Weight = bystanderWeight
		}
		t.suspectOf(now, r.Fingerprint).add(c)
	}
}

// ProvesHealth returns whether a complete response with an HTTP status shows that its
// target has survived the request: it ran the request and did not fail. Generations have
// the status 0.
func ProvesHealth(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return status < http.StatusInternalServerError
}

// RecordSuccess clears the evidence on a request, and returns its state before.
func (t *Tracker) RecordSuccess(now time.Time, f Fingerprint) State {
	before := t.State(now, f)
	if s, ok := t.requests[f]; ok {
		s.clear(now)
	}
	return before
}

// Check returns a CrashSuspect problem if the request must not run now.
func (t *Tracker) Check(now time.Time, f Fingerprint) *sillproblem.Problem {
	s, ok := t.requests[f]
	if !ok || s.score(now) < refuseScore {
		return nil
	}
	wait := s.lastChange().Add(refusePeriod).Sub(now)
	if wait <= 0 {
		return nil
	}
	return sillproblem.New(sillproblem.CrashSuspect, "%d targets died while they ran it.", len(s.crashes)).WithRetryAfter(wait)
}

// Counts is the number of requests with evidence.
type Counts struct {
	// Known requests include the refused ones.
	Known   int
	Refused int
}

// Counts returns the number of requests with evidence.
func (t *Tracker) Counts(now time.Time) Counts {
	c := Counts{Known: len(t.requests)}
	for f := range t.requests {
		if t.Check(now, f) != nil {
			c.Refused++
		}
	}
	return c
}

// CrashedTargets returns the targets that crashed while they ran the request.
func (t *Tracker) CrashedTargets(f Fingerprint) []sillid.TargetID {
	s, ok := t.requests[f]
	if !ok {
		return nil
	}
	var targets []sillid.TargetID
	for _, c := range s.crashes {
		targets = append(targets, c.Target)
	}
	return targets
}

func (t *Tracker) score(now time.Time, f Fingerprint) float64 {
	if s, ok := t.requests[f]; ok {
		return s.score(now)
	}
	return 0
}

// suspectOf returns the request's entry, and creates it if needed, evicting
// others if the tracker is full.
func (t *Tracker) suspectOf(now time.Time, f Fingerprint) *suspect {
	if s, ok := t.requests[f]; ok {
		return s
	}
	if len(t.requests) >= maxRequests {
		t.RemoveExpired(now)
	}
	if len(t.requests) >= maxRequests {
		t.evictLowestScores(now)
	}
	s := &suspect{}
	t.requests[f] = s
	return s
}

// RemoveExpired removes the requests whose evidence has not changed within
// crashExpiry.
func (t *Tracker) RemoveExpired(now time.Time) {
	for f, s := range t.requests {
		if now.Sub(s.lastChange()) > crashExpiry {
			delete(t.requests, f)
		}
	}
}

// evictLowestScores removes a quarter of the requests: those with the lowest
// score, oldest first.
func (t *Tracker) evictLowestScores(now time.Time) {
	all := t.ranked(now)
	for _, r := range all[len(all)*3/4:] {
		delete(t.requests, r.fingerprint)
	}
}

// rankedRequest is a request with its sort keys.
type rankedRequest struct {
	fingerprint Fingerprint
	score       float64
	lastChange  time.Time
}

// ranked returns the requests with the highest score first, and the newest
// first among equal scores.
func (t *Tracker) ranked(now time.Time) []rankedRequest {
	all := make([]rankedRequest, 0, len(t.requests))
	for f, s := range t.requests {
		all = append(all, rankedRequest{fingerprint: f, score: s.score(now), lastChange: s.lastChange()})
	}
	slices.SortFunc(all, func(a, b rankedRequest) int {
		return cmp.Or(
			cmp.Compare(b.score, a.score),
			b.lastChange.Compare(a.lastChange),
			bytes.Compare(a.fingerprint[:], b.fingerprint[:]),
		)
	})
	return all
}
