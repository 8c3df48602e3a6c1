package sillscaler

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// advance moves an open order to its next state: it drains the target of a
// planned stop, looks up an order that may have been sent, or sends it.
func (t *Task) advance(ctx context.Context, guard silllease.Guard, e *entry) error {
	if !e.isOpen() {
		return nil
	}
	if e.State == planned {
		drained, err := t.Drain(ctx, e.Target)
		if err != nil || !drained {
			return eris.Wrapf(err, "sillscaler.advance: drain %s", e.Target)
		}
		if err := t.setState(ctx, guard, e, sending); err != nil {
			return err
		}
	}
	if !t.unsent[e.Order.ID] {
		known, err := t.reconcile(ctx, guard, e)
		if known || err != nil {
			return err
		}
	}
	return t.send(ctx, guard, e)
}

// reconcile looks up an order that may have been sent. It returns true if the
// platform has received it.
func (t *Task) reconcile(ctx context.Context, guard silllease.Guard, e *entry) (bool, error) {
	response, err := t.Orders.Get(ctx, e.Order.ID)
	if errors.Is(err, sillorder.ErrNotFound) {
		t.Metrics.Reconciled.WithLabelValues("absent").Inc()
		return false, nil
	}
	if err != nil {
		return false, eris.Wrap(err, "sillscaler.reconcile")
	}
	t.Metrics.Reconciled.WithLabelValues("present").Inc()
	return true, t.finish(ctx, guard, e, response)
}

// fencedAttempts bounds the sends of one order in one step. The platform also
// rejects an order as fenced if an order of another shard, whose number was
// drawn later, arrived first.
const fencedAttempts = 5

// send sends the order and retries with a new fencing number if the platform
// rejected it as fenced. A replaced lease holder can't draw a new number.
func (t *Task) send(ctx context.Context, guard silllease.Guard, e *entry) error {
	var err error
	for range fencedAttempts {
		err = t.sendOnce(ctx, guard, e)
		if t.Fencing == nil || !errors.Is(err, sillorder.ErrFenced) {
			return err
		}
	}
	return err
}

// sendOnce sends the order under its id; the platform may already have it. The
// fencing number is drawn first, so that the last drain, the lease check and
// the send follow each other without another wait.
func (t *Task) sendOnce(ctx context.Context, guard silllease.Guard, e *entry) error {
	number, err := t.fencingNumber(ctx, guard)
	if err != nil {
		t.Metrics.countWriteFailure("fencing", err)
		return eris.Wrap(err, "sillscaler.send: fencing number")
	}
	if e.Order.Action == sillorder.Stop {
		drained, err := t.Drain(ctx, e.Target)
		if err != nil || !drained {
			return eris.Wrapf(err, "sillscaler.send: drain %s", e.Target)
		}
	}
	mayAct := func() bool { return guard.MayAct(t.Now()) }
	if !mayAct() {
		t.Metrics.Orders.WithLabelValues(string(e.Order.Action), "lease-lost").Inc()
		return ErrLeaseLost
	}
	delete(t.unsent, e.Order.ID)
	order := e.Order
	order.Fencing = number
	response, err := t.Orders.Send(ctx, order, mayAct)
	t.Metrics.Orders.WithLabelValues(string(order.Action), orderOutcome(err)).Inc()
	if errors.Is(err, sillorder.ErrRejected) {
		t.Logger.Warn("The platform rejected a scale order; it is not sent again.", zap.String("order", string(order.ID)), zap.Error(err))
		return t.setState(ctx, guard, e, rejected)
	}
	if err != nil {
		return eris.Wrap(err, "sillscaler.send")
	}
	return t.finish(ctx, guard, e, response)
}

func (t *Task) fencingNumber(ctx context.Context, guard silllease.Guard) (sillid.Epoch, error) {
	if t.Fencing == nil {
		return guard.Epoch, nil
	}
	return t.Fencing(ctx, guard)
}

func (t *Task) finish(ctx context.Context, guard silllease.Guard, e *entry, response sillorder.Response) error {
	if e.Order.Action == sillorder.Start {
		e.Started = response.Instance
	}
	return t.setState(ctx, guard, e, done)
}

func (t *Task) setState(ctx context.Context, guard silllease.Guard, e *entry, s state) error {
	before := e.orderRow
	e.State = s
	e.ChangedAt = t.Now().UnixMilli()
	err := e.save(ctx, t.Store, guard)
	if err != nil {
		e.orderRow = before
		t.Metrics.countWriteFailure("row", err)
	}
	return err
}
