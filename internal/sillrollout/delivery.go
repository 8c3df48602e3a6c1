package sillrollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Delivery holds the samples of one response to a trainer. The same DeliveryID
// always carries the same samples, byte for byte.
type Delivery struct {
	// ID is empty if there is nothing to deliver yet.
	ID DeliveryID
	// Samples is the encoded list of samples; nil if ID is empty.
	Samples json.RawMessage
	// Count is the number of samples.
	Count int
	// Done is true if the batch has nothing more to deliver after this delivery.
	Done bool
}

// ErrDeliveryTooLarge is returned if the trainer asks for fewer samples than the
// next delivery holds. A delivery can't be split, since its content is fixed before
// it is first given.
var ErrDeliveryTooLarge = errors.New("the next delivery holds more samples than max: raise max")

// ErrUnknownDelivery is returned for an acknowledgement of a delivery that was never given.
var ErrUnknownDelivery = errors.New("no such delivery was given: acknowledge the delivery-id of the last response")

type storedDelivery struct {
	row deliveryRow
	raw silltable.Row
}

func (l *Ledger) deliveries(ctx context.Context, batch sillid.BatchID) ([]storedDelivery, error) {
	rows, err := l.Store.ListAll(ctx, deliveryPrefix(batch))
	if err != nil {
		return nil, eris.Wrap(err, "sillrollout.deliveries")
	}
	stored := make([]storedDelivery, len(rows))
	for i, r := range rows {
		stored[i].raw = r
		if err := json.Unmarshal(r.Value, &stored[i].row); err != nil {
			return nil, eris.Wrap(err, "sillrollout.deliveries: decode")
		}
	}
	return stored, nil
}

// ownedBatch reads the row of a batch; ErrUnknownBatch if it belongs to another
// organisation.
func (l *Ledger) ownedBatch(ctx context.Context, organisation sillid.OrganisationID, batch sillid.BatchID) (batchRow, silltable.Revision, error) {
	row, revision, err := l.batch(ctx, batch)
	if err != nil {
		return row, revision, err
	}
	if row.Organisation != organisation {
		return row, revision, ErrUnknownBatch
	}
	return row, revision, nil
}

// Next returns the first delivery that isn't acknowledged. It claims the delivery
// before it returns the samples, and withdraws it if the samples exceed the
// staleness bound by then. limit bounds the number of samples; 0 sets no bound.
// Errors: ErrUnknownBatch and ErrDeliveryTooLarge; silltable.ErrUnavailable,
// silltable.ErrConflict and silltable.ErrUnknown, after which the caller retries.
func (l *Ledger) Next(ctx context.Context, organisation sillid.OrganisationID, batch sillid.BatchID, limit int) (Delivery, error) {
	row, revision, err := l.ownedBatch(ctx, organisation, batch)
	if err != nil {
		return Delivery{}, err
	}
	stored, err := l.deliveries(ctx, batch)
	if err != nil {
		return Delivery{}, err
	}
	pending := unacknowledged(stored)
	if len(pending) == 0 {
		done, err := l.finished(ctx, batch, row, revision, stored)
		return Delivery{Done: done}, err
	}
	first := pending[0]
	if limit > 0 && first.row.Samples > limit {
		return Delivery{}, eris.Wrapf(ErrDeliveryTooLarge, "sillrollout.Next: %d samples", first.row.Samples)
	}
	spec, err := l.spec(ctx, row.Spec)
	if err != nil {
		return Delivery{}, err
	}
	given, err := l.claim(ctx, spec, first)
	if err != nil || !given {
		return Delivery{}, err
	}
	samples, err := l.Objects.Get(ctx, first.row.Object)
	if err != nil {
		return Delivery{}, eris.Wrap(err, "sillrollout.Next: object")
	}
	d := Delivery{ID: first.row.Delivery, Samples: samples, Count: first.row.Samples}
	if len(pending) == 1 {
		d.Done, err = l.finished(ctx, batch, row, revision, stored)
	}
	return d, err
}

// finished reports whether no delivery beyond the stored ones will be formed. To
// form a delivery and to reopen withdrawn groups both write the batch row, so the
// list of deliveries is complete if the row, which was read before the list, has
// not changed since.
func (l *Ledger) finished(ctx context.Context, batch sillid.BatchID, row batchRow, revision silltable.Revision, stored []storedDelivery) (bool, error) {
	if row.State != Closed || !noneWithdrawn(stored) {
		return false, nil
	}
	_, latest, err := l.batch(ctx, batch)
	return err == nil && latest == revision, err
}

// noneWithdrawn reports whether no delivery is withdrawn. The groups of a withdrawn
// delivery are delivered again after the owner has reopened them.
func noneWithdrawn(stored []storedDelivery) bool {
	return !slices.ContainsFunc(stored, func(d storedDelivery) bool { return d.row.State == Withdrawn })
}

// unacknowledged returns the deliveries that are formed or given.
func unacknowledged(stored []storedDelivery) []storedDelivery {
	var pending []storedDelivery
	for _, d := range stored {
		if d.row.State == Formed || d.row.State == Given {
			pending = append(pending, d)
		}
	}
	return pending
}

// claim moves a formed delivery to given, or to withdrawn if it exceeds the
// staleness bound, and reports whether it is given. Only given deliveries leave the
// process.
func (l *Ledger) claim(ctx context.Context, spec Spec, d storedDelivery) (bool, error) {
	if d.row.State == Given {
		return true, nil
	}
	version, current, err := l.trainerVersion(ctx, spec.Model)
	if err != nil {
		return false, err
	}
	d.row.State = Given
	if overBound(d.row.Oldest, version, spec.StalenessBound) {
		d.row.State = Withdrawn
	}
	// The check on the row of the trainer's version fails the claim if the version
	// changed after it was compared.
	_, err = l.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: d.raw.Key, Revision: d.raw.Revision}, current},
		Writes: []silltable.Write{{Key: d.raw.Key, Value: encode(d.row)}},
	})
	if err != nil {
		return false, eris.Wrap(err, "sillrollout.claim")
	}
	return d.row.State == Given, nil
}

// Acknowledge records that the trainer has received a delivery. A repeated
// acknowledgement succeeds. Errors: ErrUnknownBatch, ErrUnknownDelivery, and those
// of silltable.Store.
func (l *Ledger) Acknowledge(ctx context.Context, organisation sillid.OrganisationID, batch sillid.BatchID, id DeliveryID) error {
	if _, _, err := l.ownedBatch(ctx, organisation, batch); err != nil {
		return err
	}
	stored, err := l.deliveries(ctx, batch)
	if err != nil {
		return err
	}
	for _, d := range stored {
		if d.row.Delivery == id {
			return l.acknowledge(ctx, d)
		}
	}
	return ErrUnknownDelivery
}

func (l *Ledger) acknowledge(ctx context.Context, d storedDelivery) error {
	switch d.row.State {
	case Acked:
		return nil
	case Formed, Withdrawn:
		return ErrUnknownDelivery
	}
	d.row.State = Acked
	_, err := l.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: d.raw.Key, Revision: d.raw.Revision}},
		Writes: []silltable.Write{{Key: d.raw.Key, Value: encode(d.row)}},
	})
	return eris.Wrap(err, "sillrollout.acknowledge")
}

func (l *Ledger) spec(ctx context.Context, name string) (Spec, error) {
	var spec Spec
	content, err := l.Objects.Get(ctx, name)
	if err != nil {
		return spec, eris.Wrap(err, "sillrollout.spec")
	}
	err = json.Unmarshal(content, &spec)
	return spec, eris.Wrap(err, "sillrollout.spec: decode")
}

// deliveryDraft is the content of one delivery to be formed.
type deliveryDraft struct {
	groups  []int
	samples []Sample
}

// errStale is returned if samples of a draft exceed the staleness bound.
var errStale = errors.New("samples exceed the staleness bound: generate them again")

// form writes the samples of a draft to the object store, and then, in one
// transaction, adds the row of the delivery and marks its groups as settled in the
// batch row. Only then may the samples be given to the trainer. Errors: errStale if
// the samples exceed the staleness bound, silltable.ErrConflict if another owner
// changed the batch, after which the caller reads the batch row again, and those of
// the stores.
func (l *Ledger) form(ctx context.Context, guard silllease.Guard, spec Spec, f deliveryDraft) error {
	oldest, ok := oldestVersion(f.samples)
	version, current, err := l.trainerVersion(ctx, spec.Model)
	if err != nil {
		return err
	}
	if !ok || overBound(oldest, version, spec.StalenessBound) {
		return errStale
	}
	row, revision, err := l.batch(ctx, spec.Batch)
	if err != nil {
		return err
	}
	if intersects(row.Settled, f.groups) {
		return eris.Wrap(silltable.ErrConflict, "sillrollout.form: group is settled already")
	}
	content := encode(f.samples)
	name := contentName("rollout-delivery/"+string(spec.Batch)+"/", content)
	if err := l.Objects.PutNew(ctx, name, content); err != nil {
		return eris.Wrap(err, "sillrollout.form: object")
	}
	delivery := deliveryRow{
		Delivery: DeliveryID(fmt.Sprintf("%s-%d", spec.Batch, row.Deliveries)),
		Object:   name, State: Formed, Groups: f.groups, Samples: len(f.samples), Oldest: oldest,
	}
	key := deliveryKey(spec.Batch, row.Deliveries)
	row.Deliveries++
	row.Settled = union(row.Settled, f.groups)
	_, err = l.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{
			guard.Check, current,
			{Key: batchKey(spec.Batch), Revision: revision},
			{Key: key, Revision: silltable.Absent},
		},
		Writes: []silltable.Write{
			{Key: batchKey(spec.Batch), Value: encode(row)},
			{Key: key, Value: encode(delivery)},
		},
	})
	return eris.Wrap(err, "sillrollout.form")
}

func oldestVersion(samples []Sample) (sillid.WeightVersion, bool) {
	var lowest sillid.WeightVersion
	for i, s := range samples {
		oldest, ok := sillattribution.Oldest(s.Spans)
		if !ok {
			return 0, false
		}
		if i == 0 || oldest < lowest {
			lowest = oldest
		}
	}
	return lowest, len(samples) > 0
}
