// Package sillcrash detects requests that crash the targets that run them
// (poison requests).
package sillcrash

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

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

// Fingerprint identifies requests of one organisation with the same content.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// NewFingerprint returns the fingerprint of a request: the first 16 bytes of a
// SHA-256 hash.
func NewFingerprint(organisation sillid.OrganisationID, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{string(organisation), method, path} {
		// Writing to a hash never fails. The zero byte separates the parts.
		_, _ = h.Write(append([]byte(s), 0))
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:16])
}

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

// suspect is the crash evidence on one request.
type suspect struct {
	// crashes are sorted by time; at most maxCrashes.
	crashes []Crash
	cleared time.Time
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

// State is the evidence on one request in short.
type State struct {
	Score float64
	// Crashes is the number of crashes that are kept, also of those that do not count.
	Crashes int
	// LastCrash is when the last of them was; zero if there is none.
	LastCrash time.Time
}

// LogFields returns the log fields of the evidence: score, crashes and evidence-age.
func (s State) LogFields(now time.Time) []zap.Field {
	fields := []zap.Field{zap.Float64("score", s.Score), zap.Int("crashes", s.Crashes)}
	if s.Crashes > 0 {
		fields = append(fields, zap.Duration("evidence-age", now.Sub(s.LastCrash)))
	}
	return fields
}

// State returns the evidence on a request in short.
func (t *Tracker) State(now time.Time, f Fingerprint) State {
	s, ok := t.requests[f]
	if !ok || len(s.crashes) == 0 {
		return State{}
	}
	return State{Score: s.score(now), Crashes: len(s.crashes), LastCrash: s.lastChange()}
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

func (s *suspect) lastChange() time.Time {
	if len(s.crashes) == 0 {
		return s.cleared
	}
	return s.crashes[len(s.crashes)-1].At
}

func (s *suspect) clear(now time.Time) {
	if now.After(s.cleared) {
		s.cleared = now
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return !c.At.After(s.cleared) })
}

// add records a crash. If the run's crash is already recorded, it keeps the
// larger weight.
func (s *suspect) add(c Crash) {
	if !c.At.After(s.cleared) {
		return
	}
	i := slices.IndexFunc(s.crashes, func(e Crash) bool { return e.Target == c.Target && e.Run == c.Run })
	if i >= 0 {
		s.crashes[i].Weight = max(s.crashes[i].Weight, c.Weight)
		return
	}
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(s.crashes) > maxCrashes {
		s.dropOne()
	}
}

// dropOne removes the oldest crash that adds nothing to the score, nor to that of crashes
// to come: an earlier one ends a sequence of the same weight. The last crash stays. If each
// crash adds to the score, the oldest one goes.
func (s *suspect) dropOne() {
	totals := totalsOf(s.lastChange(), s.crashes)
	highest := 0.0
	for i, total := range totals[:len(totals)-1] {
		if total <= highest {
			s.crashes = slices.Delete(s.crashes, i, i+1)
			return
		}
		highest = total
	}
	s.crashes = slices.Delete(s.crashes, 0, 1)
}

// score returns the highest total weight of crashes that came one after the other.
func (s *suspect) score(now time.Time) float64 {
	if len(s.crashes) == 0 {
		return 0
	}
	return slices.Max(totalsOf(now, s.crashes))
}

// totalsOf returns, for each crash, the highest total weight of crashes that came one after
// the other and end with it; 0 for crashes that have expired. The crashes are sorted by time.
func totalsOf(now time.Time, crashes []Crash) []float64 {
	totals := make([]float64, len(crashes))
	for i, c := range crashes {
		if now.Sub(c.At) > crashExpiry {
			continue
		}
		for j, earlier := range crashes[:i] {
			if !c.Started.Before(earlier.At) {
				totals[i] = max(totals[i], totals[j])
			}
		}
		totals[i] += c.Weight
	}
	return totals
}
