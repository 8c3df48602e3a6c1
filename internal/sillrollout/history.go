package sillrollout

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// history is the stored form of the lengths that a Predictor has observed of one
// model.
type history struct {
	Model   sillid.ModelID  `json:"model"`
	Lengths []sillid.Tokens `json:"lengths"`
	// Prompts are in the order in which the Predictor first observed them.
	Prompts []promptHistory `json:"prompts"`
}

type promptHistory struct {
	Hash    uint64          `json:"hash"`
	Lengths []sillid.Tokens `json:"lengths"`
}

// history returns the observed lengths of a model. Its prompts include those of
// other models, which do no harm, since the hash of a prompt covers its model.
func (p *Predictor) history(model sillid.ModelID) history {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := history{Model: model}
	if m := p.models[model]; m != nil {
		h.Lengths = slices.Clone(m.ring)
	}
	for _, hash := range p.order {
		h.Prompts = append(h.Prompts, promptHistory{Hash: hash, Lengths: slices.Clone(p.prompts[hash].ring)})
	}
	return h
}

// restore loads a history unless lengths of its model were observed already.
func (p *Predictor) restore(h history) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.models[h.Model] != nil || len(h.Lengths) == 0 {
		return
	}
	p.models[h.Model] = &window{size: modelWindow, ring: slices.Clone(h.Lengths)}
	for _, ph := range h.Prompts {
		if p.prompts[ph.Hash] != nil {
			continue
		}
		p.prompts[ph.Hash] = &window{size: promptWindow, ring: slices.Clone(ph.Lengths)}
		p.order = append(p.order, ph.Hash)
		p.evictOldest()
	}
}

// historyRow is the value of the row rollout-history/TRAINER.
type historyRow struct {
	Object string `json:"object"`
}

func historyKey(trainer sillid.TrainerID) string { return "rollout-history/" + string(trainer) }

// saveHistory stores the lengths observed in a trainer's steps for the next owner.
func (l *Ledger) saveHistory(ctx context.Context, guard silllease.Guard, spec Spec, h history) error {
	content := encode(h)
	name := contentName("rollout-history/", content)
	if err := l.Objects.PutNew(ctx, name, content); err != nil {
		return eris.Wrap(err, "sillrollout.saveHistory: object")
	}
	_, err := l.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check},
		Writes: []silltable.Write{{Key: historyKey(spec.Trainer), Value: encode(historyRow{Object: name})}},
	})
	return eris.Wrap(err, "sillrollout.saveHistory")
}

// loadHistory returns the lengths that an earlier owner stored, or an empty history
// if there are none.
func (l *Ledger) loadHistory(ctx context.Context, trainer sillid.TrainerID) (history, error) {
	var h history
	row, err := l.Store.GetOrAbsent(ctx, historyKey(trainer))
	if err != nil || row.Revision == silltable.Absent {
		return h, eris.Wrap(err, "sillrollout.loadHistory")
	}
	var value historyRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return h, eris.Wrap(err, "sillrollout.loadHistory: decode")
	}
	content, err := l.Objects.Get(ctx, value.Object)
	if err != nil {
		return h, eris.Wrap(err, "sillrollout.loadHistory: object")
	}
	return h, eris.Wrap(json.Unmarshal(content, &h), "sillrollout.loadHistory: decode")
}
