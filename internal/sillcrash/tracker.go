// Package sillcrash finds requests that crash the targets that run them.
package sillcrash

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// A request is refused once it ran on several targets that died, one after the
// other: a death counts only if the request started there after the death that
// counted before. So a zone that fails while many equal requests run counts once.
//
// Of the requests that a target ran when it died, those with the most deaths
// before are the likely cause and get the full weight; the others get less. A
// success clears a request.

const (
	// refuseAt is the blame from which a request is refused.
	refuseAt = 3.0
	// bystander is the weight of a death for which another request is the likelier cause.
	bystander = 0.25
	// maxPerTarget bounds the blame from deaths of one target, which may be ill itself.
	maxPerTarget = 2.0
	// refuseFor is how long a request is refused after its last death. Then it
	// may run once more.
	refuseFor = 10 * time.Minute
	// forgetAfter is when deaths are forgotten.
	forgetAfter = time.Hour
	// maxDeaths bounds the deaths that are kept of one request.
	maxDeaths = 8
	// maxRequests bounds the requests that are kept.
	maxRequests = 4096
)

// Fingerprint identifies equal requests of one organisation.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// NewFingerprint returns the fingerprint of a request.
func NewFingerprint(organisation sillid.OrganisationID, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{string(organisation), method, path} {
		// Write of a hash never fails. The separator keeps the parts apart.
		_, _ = h.Write(append([]byte(s), 0))
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:16])
}

// RunningRequest is a request that a target ran when it died.
type RunningRequest struct {
	Fingerprint Fingerprint
	// Started is when the target got the request.
	Started time.Time
}

// Crash is the end of one run of a target.
type Crash struct {
	Target sillid.TargetID `cbor:"1,keyasint"`
	// Run identifies the run of the engine or service, or of the agent where
	// the target has none.
	Run string `cbor:"2,keyasint"`
	// At and Started are the times of the death and of the request's start.
	At      time.Time `cbor:"3,keyasint"`
	Started time.Time `cbor:"4,keyasint"`
	// Weight is above 0, at most 1.
	Weight float64 `cbor:"5,keyasint"`
}

// Evidence is what is known of one request, for other processes.
type Evidence struct {
	Fingerprint Fingerprint `cbor:"1,keyasint"`
	Crashes     []Crash     `cbor:"2,keyasint"`
	// Cleared is when the request last succeeded; deaths before do not count.
	Cleared time.Time `cbor:"3,keyasint"`
}

// Tracker counts the deaths of each request. It is not safe for concurrent use.
type Tracker struct {
	requests map[Fingerprint]*suspect
}

type suspect struct {
	// deaths are sorted by time; at most maxDeaths.
	deaths  []Crash
	cleared time.Time
}

// NewTracker returns a tracker that suspects nothing.
func NewTracker() *Tracker {
	return &Tracker{requests: make(map[Fingerprint]*suspect)}
}

// RecordCrash records that a run of a target died while it ran the requests.
func (t *Tracker) RecordCrash(now time.Time, target sillid.TargetID, run string, running []RunningRequest) {
	highest := 0.0
	for _, r := range running {
		highest = max(highest, t.blame(now, r.Fingerprint))
	}
	for _, r := range running {
		d := Crash{Target: target, Run: run, At: now, Started: r.Started, Weight: 1}
		if t.blame(now, r.Fingerprint) < highest {
			d.Weight = bystander
		}
		t.suspect(now, r.Fingerprint).add(d)
	}
}

// RecordSuccess clears a request.
func (t *Tracker) RecordSuccess(now time.Time, f Fingerprint) {
	if s, ok := t.requests[f]; ok {
		s.clear(now)
	}
}

// Check returns a problem if the request must not run now.
func (t *Tracker) Check(now time.Time, f Fingerprint) *sillproblem.Problem {
	s, ok := t.requests[f]
	if !ok || s.blame(now) < refuseAt {
		return nil
	}
	wait := s.last().Add(refuseFor).Sub(now)
	if wait <= 0 {
		return nil
	}
	return sillproblem.New(sillproblem.CrashSuspect, "%d targets died while they ran it.", len(s.deaths)).WithRetryAfter(wait)
}

// CrashedTargets returns the targets that died while they ran the request.
func (t *Tracker) CrashedTargets(f Fingerprint) []sillid.TargetID {
	s, ok := t.requests[f]
	if !ok {
		return nil
	}
	var targets []sillid.TargetID
	for _, d := range s.deaths {
		targets = append(targets, d.Target)
	}
	return targets
}

func (t *Tracker) blame(now time.Time, f Fingerprint) float64 {
	if s, ok := t.requests[f]; ok {
		return s.blame(now)
	}
	return 0
}

// suspect returns the request's record, and makes room for it if needed.
func (t *Tracker) suspect(now time.Time, f Fingerprint) *suspect {
	if s, ok := t.requests[f]; ok {
		return s
	}
	if len(t.requests) >= maxRequests {
		t.RemoveExpired(now)
	}
	if len(t.requests) >= maxRequests {
		t.forgetLeast(now)
	}
	s := &suspect{}
	t.requests[f] = s
	return s
}

// RemoveExpired forgets old deaths.
func (t *Tracker) RemoveExpired(now time.Time) {
	for f, s := range t.requests {
		if now.Sub(s.last()) > forgetAfter {
			delete(t.requests, f)
		}
	}
}

// forgetLeast forgets a quarter of the requests, those with the least blame and
// the oldest of these first.
func (t *Tracker) forgetLeast(now time.Time) {
	all := t.ranked(now)
	for _, r := range all[len(all)*3/4:] {
		delete(t.requests, r.fingerprint)
	}
}

// ranked is a request with what it is ranked by.
type ranked struct {
	fingerprint Fingerprint
	blame       float64
	last        time.Time
}

// ranked returns the requests with the most blame first, the newest of these first.
func (t *Tracker) ranked(now time.Time) []ranked {
	all := make([]ranked, 0, len(t.requests))
	for f, s := range t.requests {
		all = append(all, ranked{fingerprint: f, blame: s.blame(now), last: s.last()})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(b.blame, a.blame),
			b.last.Compare(a.last),
			bytes.Compare(a.fingerprint[:], b.fingerprint[:]),
		)
	})
	return all
}

func (s *suspect) last() time.Time {
	if len(s.deaths) == 0 {
		return s.cleared
	}
	return s.deaths[len(s.deaths)-1].At
}

func (s *suspect) clear(now time.Time) {
	if now.After(s.cleared) {
		s.cleared = now
	}
	s.deaths = slices.DeleteFunc(s.deaths, func(d Crash) bool { return !d.At.After(s.cleared) })
}

// add records a death once; of two weights the larger one stays.
func (s *suspect) add(d Crash) {
	if !d.At.After(s.cleared) {
		return
	}
	i := slices.IndexFunc(s.deaths, func(e Crash) bool { return e.Target == d.Target && e.Run == d.Run })
	if i >= 0 {
		s.deaths[i].Weight = max(s.deaths[i].Weight, d.Weight)
		return
	}
	s.deaths = append(s.deaths, d)
	slices.SortStableFunc(s.deaths, func(a, b Crash) int { return a.At.Compare(b.At) })
	s.deaths = s.deaths[max(0, len(s.deaths)-maxDeaths):]
}

// blame is the weight of the deaths that count.
func (s *suspect) blame(now time.Time) float64 {
	perTarget := make(map[sillid.TargetID]float64, len(s.deaths))
	var counted time.Time
	sum := 0.0
	for _, d := range s.deaths {
		if now.Sub(d.At) > forgetAfter || !d.Started.After(counted) {
			continue
		}
		weight := min(d.Weight, maxPerTarget-perTarget[d.Target])
		perTarget[d.Target] += weight
		sum += weight
		counted = d.At
	}
	return sum
}
