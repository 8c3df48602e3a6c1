package sillrollout

import (
	"context"
	"errors"
	"slices"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// syncWork is what an owner has to write at its next look at the rows.
type syncWork struct {
	// read is true once the trainer's version has been read.
	read       bool
	formations []formation
	drop       []int
	// progress is what the next owner would go on from.
	progress []keptSample
	close    bool
}

// add appends groups to the formations, several groups to one up to deliverySamples.
func (w *syncWork) add(b *Batch, groups []int) {
	for _, g := range groups {
		samples := b.DeliverySamples([]int{g})
		last := len(w.formations) - 1
		if last >= 0 && len(w.formations[last].samples)+len(samples) <= deliverySamples {
			w.formations[last].groups = append(w.formations[last].groups, g)
			w.formations[last].samples = append(w.formations[last].samples, samples...)
			continue
		}
		w.formations = append(w.formations, formation{groups: []int{g}, samples: samples})
	}
}

func (w *syncWork) take() syncWork {
	taken := *w
	w.formations, w.drop, w.progress, w.close = nil, nil, nil, false
	return taken
}

// syncEnded is what a look at the rows found and wrote.
type syncEnded struct {
	read                   bool
	version                sillid.WeightVersion
	delivered, undelivered []int
	// settled are the settled groups of the batch row; nil if it was not read.
	settled []int
	// undropped are groups whose drop could not be written.
	undropped []int
	// unkept is progress that could not be written.
	unkept  []keptSample
	retired bool
	err     error
}

// sync writes the work and reads what others changed.
func (o *owner) sync(ctx context.Context, work syncWork) syncEnded {
	var ended syncEnded
	for _, f := range work.formations {
		o.form(ctx, f, &ended)
	}
	if err := o.cfg.Ledger.saveProgress(ctx, o.guard, o.spec.Batch, work.progress); err != nil {
		o.cfg.Logger.Warn("progress not kept", zap.String("batch", string(o.spec.Batch)), zap.Error(err))
		ended.unkept = work.progress
	}
	version, _, err := o.cfg.Ledger.trainerVersion(ctx, o.spec.Model)
	ended.read, ended.version, ended.err = err == nil, version, err
	if err != nil {
		ended.undropped = work.drop
		return ended
	}
	if err := o.settle(ctx, work); err != nil {
		ended.undropped, ended.err = work.drop, err
		return ended
	}
	ended.err = o.lookAfter(ctx, &ended)
	return ended
}

// form forms one delivery. The batch row tells what became of it if the answer
// is lost or another owner was faster.
func (o *owner) form(ctx context.Context, f formation, ended *syncEnded) {
	if !o.guard.MayAct(o.cfg.Ledger.Now()) {
		ended.undelivered = append(ended.undelivered, f.groups...)
		return
	}
	err := o.cfg.Ledger.form(ctx, o.guard, o.spec, f)
	if err == nil {
		ended.delivered = append(ended.delivered, f.groups...)
		return
	}
	ended.err = err
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
			ended.delivered = append(ended.delivered, g)
		} else {
			// If the row could not be read, the next try finds the group settled there.
			ended.undelivered = append(ended.undelivered, g)
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

// lookAfter takes back withdrawn deliveries and retires the batch once all is acknowledged.
func (o *owner) lookAfter(ctx context.Context, ended *syncEnded) error {
	stored, err := o.cfg.Ledger.deliveries(ctx, o.spec.Batch)
	if err != nil {
		return err
	}
	groups, err := o.cfg.Ledger.takeBack(ctx, o.guard, o.spec.Batch, stored)
	if err != nil {
		return err
	}
	// An earlier return whose answer was lost shows in the row only.
	row, _, err := o.cfg.Ledger.batch(ctx, o.spec.Batch)
	if err != nil {
		return err
	}
	ended.settled = append([]int{}, row.Settled...)
	abandoned := o.cfg.Ledger.Now().After(o.deadline.Add(abandonAfter))
	finished := row.State == Closed && len(groups) == 0 && len(unsettledDeliveries(stored)) == 0
	if !finished && !abandoned {
		return nil
	}
	if err := o.cfg.Ledger.saveHistory(ctx, o.guard, o.spec, o.predictor.history(o.spec.Model)); err != nil {
		return err
	}
	err = o.cfg.Ledger.retire(ctx, o.guard, o.spec)
	ended.retired = err == nil
	return err
}
