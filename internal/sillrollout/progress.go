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

// The strategy of progress.
//
// The batch row alone tells which groups are settled. Besides it, the owner
// keeps the scored samples of open groups, and the tokens so far of long
// generations, so that the next owner goes on from them. Tokens so far are
// certain only if the agent closed their attribution; therefore a long run is
// stopped now and then and resumed after its tokens. A lost progress costs
// time, never correctness: what is restored is judged like any other result.

// progressInterval is the time between two writes of a batch's progress.
const progressInterval = 5 * time.Second

// keptSample is the durable form of what a sample has so far.
type keptSample struct {
	Group int `json:"group"`
	Index int `json:"index"`
	// Scored is true for a whole sample, false for the tokens of an unfinished one.
	Scored       bool                   `json:"scored"`
	Score        float64                `json:"score"`
	Text         string                 `json:"text"`
	TokenIDs     []int                  `json:"token-ids"`
	Spans        []sillattribution.Span `json:"weight-spans"`
	FinishReason string                 `json:"finish-reason"`
	Target       sillid.TargetID        `json:"target"`
}

func (k *keptSample) generation() Generation {
	return Generation{Text: k.Text, TokenIDs: k.TokenIDs, Spans: k.Spans, FinishReason: k.FinishReason, Target: k.Target}
}

// RecordPartial tells the tokens that a sample's last run generated before it was
// stopped. Tokens whose versions are not certain are left behind.
func (b *Batch) RecordPartial(id sillid.SampleID, partial Generation) {
	s := b.sample(id)
	if len(partial.TokenIDs) <= len(s.partial.TokenIDs) || incomplete(partial) != "" {
		return
	}
	s.partial = partial
	s.unkept = true
}

// prefix returns the tokens after which the next run of a sample goes on; none
// if they are over the staleness bound.
func (b *Batch) prefix(s *sample) Generation {
	oldest, ok := sillattribution.Oldest(s.partial.Spans)
	if !ok || overBound(oldest, b.version, b.cfg.Spec.StalenessBound) {
		s.partial = Generation{}
	}
	return s.partial
}

// Progress returns what changed in the open groups since the last call.
func (b *Batch) Progress() []keptSample {
	var kept []keptSample
	for g := range b.groups {
		if b.groups[g].state != open {
			continue
		}
		for i := range b.groups[g].samples {
			s := &b.groups[g].samples[i]
			if !s.unkept || s.state == scoring {
				continue
			}
			s.unkept = false
			kept = append(kept, keepSample(g, i, s))
		}
	}
	return kept
}

func keepSample(group, index int, s *sample) keptSample {
	g := s.partial
	if s.state == scored {
		g = s.generation
	}
	return keptSample{
		Group: group, Index: index, Scored: s.state == scored, Score: s.score,
		Text: g.Text, TokenIDs: g.TokenIDs, Spans: g.Spans, FinishReason: g.FinishReason, Target: g.Target,
	}
}

// Restore takes the progress of an earlier owner, in the order in which it was
// kept. It comes before the first Next.
func (b *Batch) Restore(kept []keptSample) {
	for i := range kept {
		b.restore(&kept[i])
	}
}

func (b *Batch) restore(k *keptSample) {
	if k.Group >= len(b.groups) || b.groups[k.Group].state != open || k.Index >= b.cfg.Spec.GroupSize {
		return
	}
	g := &b.groups[k.Group]
	s := &g.samples[k.Index]
	if incomplete(k.generation()) != "" {
		return
	}
	if s.state == scored {
		s.state = waiting
		g.whole--
		g.waiting++
	}
	if !k.Scored {
		s.partial = k.generation()
		return
	}
	s.state, s.generation, s.score = scored, k.generation(), k.Score
	g.waiting--
	g.whole++
}

// renew stops each run that went on for long without its tokens being known, and
// resumes it after them.
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
			b.start(now, sillid.SampleID{Batch: b.cfg.Spec.Batch, Group: g, Index: i}, PriorityUrgent, old, c)
		}
	}
}

// progressRow is the value of the row rollout-progress/BATCH.
type progressRow struct {
	// Objects hold lists of keptSample; later ones count more.
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

// saveProgress adds to the progress of a batch.
func (l *Ledger) saveProgress(ctx context.Context, guard silllease.Guard, batch sillid.BatchID, kept []keptSample) error {
	if len(kept) == 0 {
		return nil
	}
	value, row, err := l.progressRow(ctx, batch)
	if err != nil {
		return err
	}
	content := encode(kept)
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

// loadProgress returns the progress that an earlier owner kept; none is no error.
func (l *Ledger) loadProgress(ctx context.Context, batch sillid.BatchID) ([]keptSample, error) {
	value, _, err := l.progressRow(ctx, batch)
	if err != nil {
		return nil, err
	}
	var all []keptSample
	for _, name := range value.Objects {
		content, err := l.Objects.Get(ctx, name)
		if err != nil {
			return nil, eris.Wrap(err, "sillrollout.loadProgress: object")
		}
		var kept []keptSample
		if err := json.Unmarshal(content, &kept); err != nil {
			return nil, eris.Wrap(err, "sillrollout.loadProgress: decode")
		}
		all = append(all, kept...)
	}
	return all, nil
}
