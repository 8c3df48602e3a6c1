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

// NewSharedTracker returns a tracker without evidence. Now returns the current
// time.
func NewSharedTracker(now func() time.Time) *SharedTracker {
	return &SharedTracker{now: now, tracker: NewTracker()}
}

// RecordCrash records that a run of a target crashed while it ran the requests. The
// time of the crash may be earlier than now.
func (s *SharedTracker) RecordCrash(at time.Time, target sillid.TargetID, run string, running []RunningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordCrash(at, target, run, running)
}

// RecordSuccess clears the evidence on a request, and returns its state before.
func (s *SharedTracker) RecordSuccess(f Fingerprint) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.RecordSuccess(s.now(), f)
}

// State returns the evidence on a request in short.
func (s *SharedTracker) State(f Fingerprint) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.State(s.now(), f)
}

// Check returns a CrashSuspect problem if the request must not run now.
func (s *SharedTracker) Check(f Fingerprint) *sillproblem.Problem {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Check(s.now(), f)
}

// CrashedTargets returns the targets that crashed while they ran the request.
func (s *SharedTracker) CrashedTargets(f Fingerprint) []sillid.TargetID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.CrashedTargets(f)
}

// Export returns the evidence on at most limit requests, those with the highest
// scores first.
func (s *SharedTracker) Export(limit int) []Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Export(s.now(), limit)
}

// ExportRecent returns the evidence on at most limit requests that are refused or
// whose evidence has changed recently, those with the highest scores first.
func (s *SharedTracker) ExportRecent(limit int) []Evidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.ExportRecent(s.now(), limit)
}

// Counts returns the number of requests with evidence.
func (s *SharedTracker) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Counts(s.now())
}

// Merge adds the evidence of another process, and returns what it changed.
func (s *SharedTracker) Merge(evidence []Evidence) []Change {
	if len(evidence) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Merge(s.now(), evidence)
}

// RemoveExpired removes the requests whose evidence has not changed recently.
func (s *SharedTracker) RemoveExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RemoveExpired(s.now())
}
