package sillrollout

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// syncWork collects what an owner has to write at its next sync with the rows.
type syncWork struct {
	// read is true once the trainer's version has been read.
	read   bool
	drafts []deliveryDraft
	drop   []int
	// progress holds the samples to store for the next owner.
	progress []savedSample
	close    bool
}

// add adds groups to the drafts, as many groups to one draft as deliverySamples allows.
func (w *syncWork) add(b *Batch, groups []int) {
	for _, g := range groups {
		samples := b.DeliverySamples([]int{g})
		last := len(w.drafts) - 1
		if last >= 0 && len(w.drafts[last].samples)+len(samples) <= deliverySamples {
			w.drafts[last].groups = append(w.drafts[last].groups, g)
			w.drafts[last].samples = append(w.drafts[last].samples, samples...)
			continue
		}
		w.drafts = append(w.drafts, deliveryDraft{groups: []int{g}, samples: samples})
	}
}

func (w *syncWork) take() syncWork {
	taken := *w
	w.drafts, w.drop, w.progress, w.close = nil, nil, nil, false
	return taken
}

// syncResult is the result of one sync with the rows.
type syncResult struct {
	read                   bool
	version                sillid.WeightVersion
	delivered, undelivered []int
	// settled lists the settled groups of the batch row; nil if it was not read.
	settled []int
	// failedDrops lists groups whose drop could not be written.
	failedDrops []int
	// unsavedProgress holds progress that could not be written.
	unsavedProgress []savedSample
	retired         bool
	err             error
}

// sync writes the work to the rows and reads what other processes changed.
func (o *owner) sync(ctx context.Context, work syncWork) syncResult {
	var result syncResult
	for _, f := range work.drafts {
		o.form(ctx, f, &result)
	}
	if err := o.cfg.Ledger.saveProgress(ctx, o.guard, o.spec.Batch, work.progress); err != nil {
		o.cfg.Logger.Warn("Progress of a batch could not be stored; retrying.", zap.String("batch", string(o.spec.Batch)), zap.Error(err))
		result.unsavedProgress = work.progress
	}
	version, _, err := o.cfg.Ledger.trainerVersion(ctx, o.spec.Model)
	result.read, result.version, result.err = err == nil, version, err
	if err != nil {
		result.failedDrops = work.drop
		return result
	}
	if err := o.settle(ctx, work); err != nil {
		result.failedDrops, result.err = work.drop, err
		return result
	}
	result.err = o.reconcile(ctx, &result)
	return result
}

// form forms one delivery. After a conflict or an unknown outcome, the batch row
// shows whether its groups are settled.
func (o *owner) form(ctx context.Context, f deliveryDraft, result *syncResult) {
	if !o.guard.MayAct(o.cfg.Ledger.Now()) {
		result.undelivered = append(result.undelivered, f.groups...)
		return
	}
	err := o.cfg.Ledger.form(ctx, o.guard, o.spec, f)
	if err == nil {
		result.delivered = append(result.delivered, f.groups...)
		return
	}
	result.err = err
	o.cfg.Metrics.formFailed(err)
	unresolved := errors.Is(err, silltable.ErrConflict) || errors.Is(err, silltable.ErrUnknown)
	var settled []int
	if unresolved {
		if row, _, err := o.cfg.Ledger.batch(ctx, o.spec.Batch); err == nil {
			settled = row.Settled
		}
	}
	for _, g := range f.groups {
		if slices.Contains(settled, g) {
			result.delivered = append(result.delivered, g)
		} else {
			// If the row could not be read although it lists the group, the retry
			// fails with a conflict and finds the group there.
			result.undelivered = append(result.undelivered, g)
		}
	}
}

func (o *owner) settle(ctx context.Context, work syncWork) error {
	if len(work.drop) == 0 && !work.close {
		return nil
	}
	state := Active
	if work.close {
		state = Closed
	}
	return o.cfg.Ledger.settle(ctx, o.guard, o.spec, work.drop, state)
}

// reconcile reopens the groups of withdrawn deliveries, and retires the batch once it
// is closed and acknowledged, or abandonAfter after its deadline.
func (o *owner) reconcile(ctx context.Context, result *syncResult) error {
	stored, err := o.cfg.Ledger.deliveries(ctx, o.spec.Batch)
	if err != nil {
		return err
	}
	groups, err := o.cfg.Ledger.reopenWithdrawn(ctx, o.guard, o.spec.Batch, stored)
	if err != nil {
		return err
	}
	// If the outcome of an earlier reopening was unknown, only the row shows it.
	row, _, err := o.cfg.Ledger.batch(ctx, o.spec.Batch)
	if err != nil {
		return err
	}
	result.settled = append([]int{}, row.Settled...)
	abandoned := o.cfg.Ledger.Now().After(o.deadline.Add(abandonAfter))
	finished := row.State == Closed && len(groups) == 0 && len(unacknowledged(stored)) == 0
	if !finished && !abandoned {
		return nil
	}
	if err := o.cfg.Ledger.saveHistory(ctx, o.guard, o.spec, o.predictor.history(o.spec.Model)); err != nil {
		return err
	}
	err = o.cfg.Ledger.retire(ctx, o.guard, o.spec)
	result.retired = err == nil
	return err
}
