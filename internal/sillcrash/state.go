package sillcrash

import (
	"time"

	"go.uber.org/zap"
)

// State is the evidence on one request in short.
type State struct {
	Score float64
	// Crashes is the number of crashes that are kept, also of those that do not count.
	Crashes int
	// LastCrash is when the last of them was; zero if there is none.
	LastCrash time.Time
}

// Refused returns whether the score is high enough for a refusal.
func (s State) Refused() bool { return s.Score >= refuseScore }

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
