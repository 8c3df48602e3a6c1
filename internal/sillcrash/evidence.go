package sillcrash

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// maxDecoded is the maximum number of requests in one message.
	maxDecoded = 1024
	// maxClockSkew is how far the clock of another process may be ahead. Evidence from
	// later times is ignored, since it would be kept until then.
	maxClockSkew = time.Minute
)

// evidenceMode encodes times with their fractions of a second: crashes that follow
// each other within a second are told apart by them.
var evidenceMode = mustEvidenceMode()

func mustEvidenceMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixDynamic}.EncMode()
	if err != nil {
		// The options are constant.
		panic(err)
	}
	return mode
}

// Encode encodes evidence for other processes and for rows.
func Encode(evidence []Evidence) ([]byte, error) {
	b, err := evidenceMode.Marshal(evidence)
	return b, eris.Wrap(err, "sillcrash.Encode")
}

// Decode decodes evidence that Encode encoded. No bytes stand for no evidence.
func Decode(b []byte) ([]Evidence, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var evidence []Evidence
	if err := cbor.Unmarshal(b, &evidence); err != nil {
		return nil, eris.Wrap(err, "sillcrash.Decode")
	}
	if len(evidence) > maxDecoded {
		return nil, eris.Errorf("sillcrash.Decode: evidence on %d requests, want at most %d", len(evidence), maxDecoded)
	}
	for _, e := range evidence {
		for _, c := range e.Crashes {
			// Written so that NaN is rejected, too.
			if !(c.Weight > 0 && c.Weight <= 1) {
				return nil, eris.Errorf("sillcrash.Decode: weight %v of a crash, want above 0 and at most 1", c.Weight)
			}
		}
	}
	return evidence, nil
}

// Export returns the evidence on at most limit requests, those with the highest
// scores first. It is sent to other processes in heartbeats.
func (t *Tracker) Export(now time.Time, limit int) []Evidence {
	return t.evidence(t.ranked(now), limit)
}

// ExportRecent returns the evidence on at most limit requests, those with the highest
// scores first: of all that changed within recentPeriod, and of those that are refused, or
// are after one more crash, for refusePeriod. Processes that got the evidence before keep
// it, but those that start need it.
func (t *Tracker) ExportRecent(now time.Time, limit int) []Evidence {
	recent := slices.DeleteFunc(t.ranked(now), func(r rankedRequest) bool {
		period := recentPeriod
		if r.score >= refuseScore-1 {
			period = refusePeriod
		}
		return now.Sub(r.lastChange) > period
	})
	return t.evidence(recent, limit)
}

// evidence returns the evidence on the first requests, at most limit.
func (t *Tracker) evidence(all []rankedRequest, limit int) []Evidence {
	all = all[:min(limit, len(all))]
	evidence := make([]Evidence, 0, len(all))
	for _, r := range all {
		s := t.requests[r.fingerprint]
		evidence = append(evidence, Evidence{Fingerprint: r.fingerprint, Crashes: slices.Clone(s.crashes), Cleared: s.cleared})
	}
	return evidence
}

// Change is what the evidence of another process changed on one request.
type Change struct {
	Fingerprint   Fingerprint
	Before, After State
}

// LeadsToRefusal returns whether the request has enough evidence only since the change.
func (c Change) LeadsToRefusal() bool {
	return !c.Before.Refused() && c.After.Refused()
}

// Merge adds the evidence of another process, and returns what it changed. It is
// idempotent and independent of the order of the evidence.
func (t *Tracker) Merge(now time.Time, evidence []Evidence) []Change {
	var changes []Change
	for _, e := range evidence {
		change := Change{Fingerprint: e.Fingerprint, Before: t.State(now, e.Fingerprint)}
		t.suspectOf(now, e.Fingerprint).merge(now, e)
		change.After = t.State(now, e.Fingerprint)
		if change.After != change.Before {
			changes = append(changes, change)
		}
	}
	return changes
}

// LogChanges logs what the evidence of another process changed. Way is how it came, and
// from the process that sent it.
func LogChanges(log *zap.Logger, now time.Time, changes []Change, way, from string) {
	for _, c := range changes {
		log.Info("Crash evidence on a request came.", append(c.After.LogFields(now), zap.Stringer("content", c.Fingerprint),
			zap.Float64("score-before", c.Before.Score), zap.String("way", way), zap.String("from", from))...)
	}
}
