package sillrollout

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// endAttempt removes a running attempt and returns its sample, or nil if the attempt
// was cancelled before.
func (b *Batch) endAttempt(number AttemptNumber) (*sample, sillid.SampleID) {
	id, ok := b.sampleOf[number]
	if !ok {
		return nil, id
	}
	delete(b.sampleOf, number)
	b.running--
	s := b.sample(id)
	for i, a := range s.attempts {
		if a.number == number {
			s.attempts = append(s.attempts[:i], s.attempts[i+1:]...)
			break
		}
	}
	return s, id
}

// GenerationDone records that an attempt finished. Of several attempts of a sample,
// the result of the first to finish is kept.
func (b *Batch) GenerationDone(now time.Time, number AttemptNumber, generation Generation) {
	s, id := b.endAttempt(number)
	if s == nil {
		b.Stats.Late++
		return
	}
	if reason := spanMismatch(generation); reason != "" {
		b.discard(now, id, reason)
		return
	}
	b.Stats.Finished++
	b.cfg.Predictor.Observe(b.cfg.Spec.Model, b.cfg.Spec.Prompts[id.Group], sillid.Tokens(len(generation.TokenIDs)))
	if s.state != generating {
		return
	}
	s.state = scoring
	s.generation = generation
	s.scoreAt = now
	s.scoreFailures = 0
}

// GenerationFailed records that an attempt failed on a target; target is empty if
// none was reached.
func (b *Batch) GenerationFailed(now time.Time, number AttemptNumber, target sillid.TargetID) {
	s, id := b.endAttempt(number)
	if s == nil {
		return
	}
	b.Stats.Failed++
	s.failures++
	if target != "" {
		s.avoid = append(s.avoid, target)
		s.avoid = s.avoid[max(0, len(s.avoid)-maxAvoided):]
	}
	b.requeue(id, now.Add(backoff(s.failures)))
}

// GenerationUnattributable records that the tokens of an attempt can't be attributed
// to weight versions.
func (b *Batch) GenerationUnattributable(now time.Time, number AttemptNumber, reason sillattribution.Reason) {
	s, id := b.endAttempt(number)
	if s == nil {
		return
	}
	b.discard(now, id, reason)
}

func (b *Batch) discard(now time.Time, id sillid.SampleID, reason sillattribution.Reason) {
	b.Stats.Unattributable[reason]++
	s := b.sample(id)
	s.failures++
	s.partial = Generation{}
	b.requeue(id, now.Add(backoff(s.failures)))
}

// spanMismatch returns why the spans don't cover the tokens of a generation, or an
// empty reason if they do.
func spanMismatch(generation Generation) sillattribution.Reason {
	spans, ok := sillattribution.Join(generation.Spans)
	switch {
	case !ok:
		return sillattribution.PrefixBroken
	case len(spans) == 0 || int(spans[len(spans)-1].To) < len(generation.TokenIDs):
		return sillattribution.TokensMissing
	case int(spans[len(spans)-1].To) > len(generation.TokenIDs):
		return sillattribution.TokensDoubled
	}
	return ""
}

// requeue sets a sample to waiting for a new attempt unless another one still runs.
func (b *Batch) requeue(id sillid.SampleID, notBefore time.Time) {
	s := b.sample(id)
	if len(s.attempts) > 0 && s.state == generating {
		return
	}
	if s.state == waiting {
		return
	}
	if s.state == scored {
		b.groups[id.Group].complete--
	}
	s.state = waiting
	s.generation = Generation{}
	s.notBefore = notBefore
	s.requeued = true
	b.groups[id.Group].waiting++
}

// ScoreDone records a sample's score.
func (b *Batch) ScoreDone(id sillid.SampleID, score float64) {
	s := b.sample(id)
	if s.state != scoring {
		return
	}
	s.state = scored
	s.score = score
	s.unsaved = true
	b.groups[id.Group].complete++
}

// ScoreFailed records that a score call failed. final means that a retry would not
// succeed.
func (b *Batch) ScoreFailed(now time.Time, id sillid.SampleID, final bool) {
	s := b.sample(id)
	if s.state != scoring {
		return
	}
	b.Stats.ScoreFailed++
	s.scoreFailures++
	s.scoreAt = now.Add(backoff(s.scoreFailures))
	if final || s.scoreFailures >= maxScoreAttempts {
		s.state = unscorable
		b.groups[id.Group].unscorable++
	}
}

func backoff(failures int) time.Duration {
	wait := firstBackoff << min(failures-1, 10)
	return min(wait, maxBackoff)
}
