package sillrollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Stored progress of a batch.
//
// The batch row is the only record of which groups are settled. In addition, the
// owner stores the scored samples of open groups and the tokens so far of long
// generations, so that the next owner resumes from them. The weight versions of the
// tokens so far are certain only once the agent has completed their attribution.
// Therefore an attempt is stopped after Policy.RenewAfter and resumed from its
// tokens. Lost progress costs time, but not correctness, since restored samples pass
// the same checks as new ones.

// progressInterval is the minimum time between two writes of a batch's progress.
const progressInterval = 5 * time.Second

// savedSample is the stored form of a sample's score or of its tokens so far.
type savedSample struct {
	Group int `json:"group"`
	Index int `json:"index"`
	// Scored is true for a scored sample, false for the tokens of an unfinished one.
	Scored       bool                   `json:"scored"`
	Score        float64                `json:"score"`
	Text         string                 `json:"text"`
	TokenIDs     []int                  `json:"token-ids"`
	Spans        []sillattribution.Span `json:"weight-spans"`
	FinishReason string                 `json:"finish-reason"`
	Target       sillid.TargetID        `json:"target"`
}

func (s *savedSample) generation() Generation {
	return Generation{Text: s.Text, TokenIDs: s.TokenIDs, Spans: s.Spans, FinishReason: s.FinishReason, Target: s.Target}
}

// RecordPartial records the tokens that a sample's last attempt generated before it
// was stopped. It ignores tokens without certain weight versions, and fewer tokens
// than were recorded before.
func (b *Batch) RecordPartial(id sillid.SampleID, partial Generation) {
	s := b.sample(id)
	if len(partial.TokenIDs) <= len(s.partial.TokenIDs) || spanMismatch(partial) != "" {
		return
	}
	s.partial = partial
	s.unsaved = true
}

// prefix returns the tokens from which the next attempt of a sample resumes, or none
// if they exceed the staleness bound.
func (b *Batch) prefix(s *sample) Generation {
	oldest, ok := sillattribution.Oldest(s.partial.Spans)
	if !ok || overBound(oldest, b.version, b.cfg.Spec.StalenessBound) {
		s.partial = Generation{}
	}
	return s.partial
}

// Progress returns the samples of open groups that changed since the last call.
func (b *Batch) Progress() []savedSample {
	var saved []savedSample
	for g := range b.groups {
		if b.groups[g].state != open {
			continue
		}
		for i := range b.groups[g].samples {
			s := &b.groups[g].samples[i]
			if !s.unsaved || s.state == scoring {
				continue
			}
			s.unsaved = false
			saved = append(saved, newSavedSample(g, i, s))
		}
	}
	return saved
}

func newSavedSample(group, index int, s *sample) savedSample {
	g := s.partial
	if s.state == scored {
		g = s.generation
	}
	return savedSample{
		Group: group, Index: index, Scored: s.state == scored, Score: s.score,
		Text: g.Text, TokenIDs: g.TokenIDs, Spans: g.Spans, FinishReason: g.FinishReason, Target: g.Target,
	}
}

// Restore loads the progress of an earlier owner, in the order in which it was
// stored. It must be called before the first Next.
func (b *Batch) Restore(saved []savedSample) {
	for i := range saved {
		b.restore(&saved[i])
	}
}

func (b *Batch) restore(saved *savedSample) {
	if saved.Group >= len(b.groups) || b.groups[saved.Group].state != open || saved.Index >= b.cfg.Spec.GroupSize {
		return
	}
	g := &b.groups[saved.Group]
	s := &g.samples[saved.Index]
	if spanMismatch(saved.generation()) != "" {
		return
	}
	if s.state == scored {
		s.state = waiting
		g.complete--
		g.waiting++
	}
	if !saved.Scored {
		s.partial = saved.generation()
		return
	}
	s.state, s.generation, s.score = scored, saved.generation(), saved.Score
	g.waiting--
	g.complete++
}

// renew stops each attempt that has run for Policy.RenewAfter and resumes it from its
// tokens, so that these can be stored.
func (b *Batch) renew(now time.Time, c *Commands) {
	if b.cfg.Policy.RenewAfter <= 0 {
		return
	}
	for g := range b.groups {
		if b.groups[g].state != open {
			continue
		}
		for i := range b.groups[g].samples {
			s := &b.groups[g].samples[i]
			if s.state != generating || len(s.attempts) != 1 || now.Sub(s.attempts[0].started) < b.cfg.Policy.RenewAfter {
				continue
			}
			old := s.attempts[0].number
			b.cancelAttempts(s, c)
			b.Stats.Renewed++
			b.startAttempt(now, sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i}, PriorityUrgent, old, c)
		}
	}
}

// progressRow is the value of the row rollout-progress/BATCH.
type progressRow struct {
	// Objects names objects that hold lists of savedSample; later ones take precedence.
	Objects []string `json:"objects"`
}

func progressKey(batch sillid.BatchID) string { return "rollout-progress/" + string(batch) }

func (l *Ledger) progressRow(ctx context.Context, batch sillid.BatchID) (progressRow, silltable.Row, error) {
	var value progressRow
	row, err := l.Store.GetOrAbsent(ctx, progressKey(batch))
	if err != nil || row.Revision == silltable.Absent {
		return value, row, eris.Wrap(err, "sillrollout.progressRow")
	}
	err = json.Unmarshal(row.Value, &value)
	return value, row, eris.Wrap(err, "sillrollout.progressRow: decode")
}

// saveProgress appends samples to the stored progress of a batch.
func (l *Ledger) saveProgress(ctx context.Context, guard silllease.Guard, batch sillid.BatchID, saved []savedSample) error {
	if len(saved) == 0 {
		return nil
	}
	value, row, err := l.progressRow(ctx, batch)
	if err != nil {
		return err
	}
	content := encode(saved)
	name := contentName("rollout-progress/"+string(batch)+"/", content)
	if err := l.Objects.PutNew(ctx, name, content); err != nil {
		return eris.Wrap(err, "sillrollout.saveProgress: object")
	}
	value.Objects = append(value.Objects, name)
	_, err = l.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check, {Key: row.Key, Revision: row.Revision}},
		Writes: []silltable.Write{{Key: row.Key, Value: encode(value)}},
	})
	return eris.Wrap(err, "sillrollout.saveProgress")
}

// loadProgress returns the progress that earlier owners stored, oldest first; none is
// no error.
func (l *Ledger) loadProgress(ctx context.Context, batch sillid.BatchID) ([]savedSample, error) {
	value, _, err := l.progressRow(ctx, batch)
	if err != nil {
		return nil, err
	}
	var all []savedSample
	for _, name := range value.Objects {
		content, err := l.Objects.Get(ctx, name)
		if err != nil {
			return nil, eris.Wrap(err, "sillrollout.loadProgress: object")
		}
		var saved []savedSample
		if err := json.Unmarshal(content, &saved); err != nil {
			return nil, eris.Wrap(err, "sillrollout.loadProgress: decode")
		}
		all = append(all, saved...)
	}
	return all, nil
}
