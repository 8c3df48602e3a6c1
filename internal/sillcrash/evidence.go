package sillcrash

import (
	"slices"
	"time"
)

// Export returns the evidence on at most limit requests, those with the highest
// scores first. It is sent to other processes in heartbeats.
func (t *Tracker) Export(now time.Time, limit int) []Evidence {
	all := t.ranked(now)
	all = all[:min(limit, len(all))]
	evidence := make([]Evidence, 0, len(all))
	for _, r := range all {
		s := t.requests[r.fingerprint]
		evidence = append(evidence, Evidence{Fingerprint: r.fingerprint, Crashes: slices.Clone(s.crashes), Cleared: s.cleared})
	}
	return evidence
}

// Merge adds the evidence of another process. It is idempotent and independent
// of the order of the evidence.
func (t *Tracker) Merge(now time.Time, evidence []Evidence) {
	for _, e := range evidence {
		s := t.suspectOf(now, e.Fingerprint)
		s.clear(e.Cleared)
		for _, c := range e.Crashes {
			s.add(c)
		}
	}
}
