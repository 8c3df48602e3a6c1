package sillcrash

import (
	"slices"
	"time"
)

// Export returns the evidence on the most suspect requests, at most limit of
// them, for the heartbeats to other processes.
func (t *Tracker) Export(now time.Time, limit int) []Evidence {
	all := t.ranked(now)
	all = all[:min(limit, len(all))]
	evidence := make([]Evidence, 0, len(all))
	for _, r := range all {
		s := t.requests[r.fingerprint]
		evidence = append(evidence, Evidence{Fingerprint: r.fingerprint, Crashes: slices.Clone(s.deaths), Cleared: s.cleared})
	}
	return evidence
}

// Merge takes in the evidence of another process. The same evidence may come
// any number of times and in any order.
func (t *Tracker) Merge(now time.Time, evidence []Evidence) {
	for _, e := range evidence {
		s := t.suspect(now, e.Fingerprint)
		s.clear(e.Cleared)
		for _, d := range e.Crashes {
			s.add(d)
		}
	}
}
