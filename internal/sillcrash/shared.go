package sillcrash

import (
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// SharedTracker is a Tracker that is safe for concurrent use.
type SharedTracker struct {
	now func() time.Time

	mu      sync.Mutex
	tracker *Tracker
}

// NewSharedTracker returns a tracker that suspects nothing.
func NewSharedTracker(now func() time.Time) *SharedTracker {
	return &SharedTracker{now: now, tracker: NewTracker()}
}

// RecordCrash records that a run of a target died while it ran the requests.
func (s *SharedTracker) RecordCrash(target sillid.TargetID, run string, running []RunningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordCrash(s.now(), target, run, running)
}

// RecordSuccess clears a request.
func (s *SharedTracker) RecordSuccess(f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordSuccess(s.now(), f)
}

// Check returns a problem if the request must not run now.
func (s *SharedTracker) Check(f Fingerprint) *sillproblem.Problem {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Check(s.now(), f)
}

// CrashedTargets returns the targets that died while they ran the request.
func (s *SharedTracker) CrashedTargets(f Fingerprint) []sillid.TargetID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.CrashedTargets(f)
}

// Export returns the evidence on the most suspect requests, at most limit.
func (s *SharedTracker) Export(limit int) []Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Export(s.now(), limit)
}

// Merge takes in the evidence of another process.
func (s *SharedTracker) Merge(evidence []Evidence) {
	if len(evidence) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Merge(s.now(), evidence)
}

// RemoveExpired forgets old deaths.
func (s *SharedTracker) RemoveExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RemoveExpired(s.now())
}
