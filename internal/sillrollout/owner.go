package sillrollout

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// settle adds dropped groups to the settled ones and sets the state of the batch. It
// closes a batch only if its row lists every group as settled.
func (l *Ledger) settle(ctx context.Context, guard silllease.Guard, spec Spec, dropped []int, state BatchState) error {
	row, revision, err := l.batch(ctx, spec.Batch)
	if err != nil {
		return err
	}
	settled := union(row.Settled, dropped)
	if len(settled) < len(spec.Prompts) {
		state = Active
	}
	if len(settled) == len(row.Settled) && row.State == state {
		return nil
	}
	row.Settled, row.State = settled, state
	return l.writeBatch(ctx, guard, spec.Batch, revision, row)
}

func (l *Ledger) writeBatch(ctx context.Context, guard silllease.Guard, batch sillid.BatchID, revision silltable.Revision, row batchRow) error {
	_, err := l.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check, {Key: batchKey(batch), Revision: revision}},
		Writes: []silltable.Write{{Key: batchKey(batch), Value: encode(row)}},
	})
	return eris.Wrap(err, "sillrollout.writeBatch")
}

// reopenWithdrawn deletes the rows of withdrawn deliveries and removes their groups
// from the settled ones, so that the groups are generated again. It returns those
// groups.
func (l *Ledger) reopenWithdrawn(ctx context.Context, guard silllease.Guard, batch sillid.BatchID, stored []storedDelivery) ([]int, error) {
	var groups []int
	checks := []silltable.Check{guard.Check}
	var writes []silltable.Write
	for _, d := range stored {
		if d.row.State != Withdrawn {
			continue
		}
		groups = append(groups, d.row.Groups...)
		checks = append(checks, silltable.Check{Key: d.raw.Key, Revision: d.raw.Revision})
		writes = append(writes, silltable.Write{Key: d.raw.Key, Delete: true})
	}
	if len(groups) == 0 {
		return nil, nil
	}
	row, revision, err := l.batch(ctx, batch)
	if err != nil {
		return nil, err
	}
	row.Settled = slices.DeleteFunc(row.Settled, func(g int) bool { return slices.Contains(groups, g) })
	row.State = Active
	checks = append(checks, silltable.Check{Key: batchKey(batch), Revision: revision})
	writes = append(writes, silltable.Write{Key: batchKey(batch), Value: encode(row)})
	_, err = l.Store.Commit(ctx, silltable.Txn{Checks: checks, Writes: writes})
	return groups, eris.Wrap(err, "sillrollout.reopenWithdrawn")
}

// retire removes a batch from the list of open batches and deletes its progress. The
// rows of the batch and its deliveries stay readable.
func (l *Ledger) retire(ctx context.Context, guard silllease.Guard, spec Spec) error {
	_, err := l.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check},
		Writes: []silltable.Write{
			{Key: openKey(spec.Trainer, spec.Batch), Delete: true},
			{Key: progressKey(spec.Batch), Delete: true},
		},
	})
	return eris.Wrap(err, "sillrollout.retire")
}

func intersects(a, b []int) bool {
	return slices.ContainsFunc(b, func(x int) bool { return slices.Contains(a, x) })
}

func union(a, b []int) []int {
	joined := append(slices.Clone(a), b...)
	slices.Sort(joined)
	return slices.Compact(joined)
}
