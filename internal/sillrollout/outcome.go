package sillrollout

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// end removes a running attempt; nil means that it was cancelled before.
func (b *Batch) end(number AttemptNumber) (*sample, sillid.SampleID) {
	id, ok := b.where[number]
	if !ok {
		return nil, id
	}
	delete(b.where, number)
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

// GenerationDone tells that an attempt finished; the first of a sample's attempts is kept.
func (b *Batch) GenerationDone(now time.Time, number AttemptNumber, generation Generation) {
	s, id := b.end(number)
	if s == nil {
		b.Stats.Late++
		return
	}
	if reason := incomplete(generation); reason != "" {
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

// GenerationFailed tells that an attempt failed on a target; empty if none was reached.
func (b *Batch) GenerationFailed(now time.Time, number AttemptNumber, target sillid.TargetID) {
	s, id := b.end(number)
	if s == nil {
		return
	}
	b.Stats.Failed++
	s.failures++
	if target != "" {
		s.avoid = append(s.avoid, target)
		s.avoid = s.avoid[max(0, len(s.avoid)-maxAvoided):]
	}
	b.again(id, now.Add(backoff(s.failures)))
}

// GenerationUnattributable tells that an attempt's versions can't be named.
func (b *Batch) GenerationUnattributable(now time.Time, number AttemptNumber, reason sillattribution.Reason) {
	s, id := b.end(number)
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
	b.again(id, now.Add(backoff(s.failures)))
}

// incomplete returns why the spans don't cover the tokens of a generation.
func incomplete(generation Generation) sillattribution.Reason {
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

// again lets a sample wait for a new run unless another attempt still runs.
func (b *Batch) again(id sillid.SampleID, notBefore time.Time) {
	s := b.sample(id)
	if len(s.attempts) > 0 && s.state == generating {
		return
	}
	if s.state == waiting {
		return
	}
	if s.state == scored {
		b.groups[id.Group].whole--
	}
	s.state = waiting
	s.generation = Generation{}
	s.notBefore = notBefore
	s.repeated = true
	b.groups[id.Group].waiting++
}

// ScoreDone tells a sample's score.
func (b *Batch) ScoreDone(id sillid.SampleID, score float64) {
	s := b.sample(id)
	if s.state != scoring {
		return
	}
	s.state = scored
	s.score = score
	s.unkept = true
	b.groups[id.Group].whole++
}

// ScoreFailed tells that a score call failed; final if the scorer refuses the sample for good.
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
		b.groups[id.Group].lost++
	}
}

func backoff(failures int) time.Duration {
	wait := firstBackoff << min(failures-1, 10)
	return min(wait, maxBackoff)
}
