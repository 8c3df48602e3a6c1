package sillscaler

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// TaskConfig configures the Task of one shard.
type TaskConfig struct {
	// Shard is part of the row keys and of the lease name; without a slash.
	Shard  string
	Policy Policy
	Store  *silltable.Store
	Orders *sillorder.Client
	// Instances reads the platform's instance list.
	Instances func(ctx context.Context) (sillinstance.List, error)
	// Zones returns the shard's pools and availability zones of the bundle in force.
	Zones func() []ZoneConfig
	// Loads returns the last load reports of a pool's targets in a zone.
	Loads func(pool sillid.PoolID, zone sillid.ZoneID) map[sillid.TargetID]Load
	// Drain makes the target's agent refuse new requests. It returns true once
	// the agent reports that no request runs and that each earlier one has its
	// complete response or continues at another target. It is called until then,
	// and once more right before the stop is sent. A target whose agent is
	// permanently gone counts as drained.
	Drain func(ctx context.Context, target sillid.TargetID) (bool, error)
	// NewID returns a new order id.
	NewID func() sillorder.ID
	// Now is the wall clock.
	Now func() time.Time
	// Fencing draws the fencing number of one send; it fails if the lease holder
	// has been replaced. If nil, the lease's epoch is used, which suffices for an
	// interface that receives the orders of one lease only.
	Fencing func(ctx context.Context, guard silllease.Guard) (sillid.Epoch, error)
	// Interval is the time between two steps.
	Interval time.Duration
	// SettleTime is how long a new lease holder waits before its first step, so
	// that its predecessor's orders have ended; at least the longest order timeout.
	SettleTime time.Duration
	// ListLag bounds how long a started instance may be missing from the list and
	// a stopped one remain in it. It is also the minimum age at which the rows of
	// closed orders are deleted.
	ListLag time.Duration
	Logger  *zap.Logger
	Metrics *Metrics
}

// Task scales the zones of one shard. It is not safe for concurrent use. A new
// Task recovers its state from the table and the platform.
type Task struct {
	TaskConfig
	zones map[zoneKey]*ZoneScaler
	// unsent holds the orders whose row this Task wrote and which it has not sent
	// yet, so that they need no look-up at the platform.
	unsent map[sillorder.ID]bool
}

type zoneKey struct {
	pool sillid.PoolID
	zone sillid.ZoneID
}

// ErrLeaseLost is returned if the lease ended before an order was sent.
var ErrLeaseLost = errors.New("lease lost: leave orders to the next holder")

// NewTask returns a task without state.
func NewTask(cfg TaskConfig) *Task {
	return &Task{
		TaskConfig: cfg,
		zones:      make(map[zoneKey]*ZoneScaler),
		unsent:     make(map[sillorder.ID]bool),
	}
}

// Run waits for SettleTime and then takes a step per Interval until ctx ends,
// which the caller does when the lease is lost.
func (t *Task) Run(ctx context.Context, guard silllease.Guard) {
	wait := t.SettleTime
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = t.Interval
		if err := t.Step(ctx, guard); err != nil {
			t.Logger.Warn("Scale step failed; the next one continues with its orders.", zap.Error(err))
		}
	}
}

// Step advances the open orders and then decides on new ones. After an error the
// next step, or the next lease holder, continues from the rows in the table.
func (t *Task) Step(ctx context.Context, guard silllease.Guard) error {
	entries, err := readEntries(ctx, t.Store, t.Shard)
	if err != nil {
		return eris.Wrap(err, "sillscaler.Step")
	}
	failed := t.each(entries, func(e *entry) error { return t.advance(ctx, guard, e) })
	list, err := t.Instances(ctx)
	if err != nil {
		return eris.Wrap(errors.Join(failed, err), "sillscaler.Step")
	}
	index := indexList(list)
	err = t.each(entries, func(e *entry) error { return t.deleteSettled(ctx, guard, e, index) })
	failed = errors.Join(failed, err)
	for _, cfg := range t.Zones() {
		failed = errors.Join(failed, t.decide(ctx, guard, cfg, entries, index))
	}
	return eris.Wrap(failed, "sillscaler.Step")
}

// each calls f for every entry and joins the errors.
func (t *Task) each(entries []*entry, f func(*entry) error) error {
	var failed error
	for _, e := range entries {
		failed = errors.Join(failed, f(e))
	}
	return failed
}

// decide writes the rows of the zone's new orders, sends the starts and begins
// the drains of the stops.
func (t *Task) decide(ctx context.Context, guard silllease.Guard, cfg ZoneConfig, es []*entry, x listIndex) error {
	z := t.zone(cfg)
	in := x.input(cfg, es)
	in.Loads = t.Loads(cfg.Pool, cfg.Zone)
	var failed error
	for _, c := range z.Decide(t.Now(), in) {
		failed = errors.Join(failed, t.begin(ctx, guard, cfg, c))
	}
	return failed
}

func (t *Task) zone(cfg ZoneConfig) *ZoneScaler {
	key := zoneKey{cfg.Pool, cfg.Zone}
	if t.zones[key] == nil {
		t.zones[key] = &ZoneScaler{Policy: t.Policy}
	}
	t.zones[key].Config = cfg
	return t.zones[key]
}

// begin writes the row of a new order and advances it: a start is sent at once, a
// stop begins to drain its target.
func (t *Task) begin(ctx context.Context, guard silllease.Guard, cfg ZoneConfig, c Command) error {
	id := t.NewID()
	e := &entry{key: rowPrefix(t.Shard) + string(id), revision: silltable.Absent}
	e.Target = c.Target
	e.Order = sillorder.Order{
		ID:       id,
		Fencing:  guard.Epoch,
		Action:   c.Action,
		Pool:     cfg.Pool,
		Zone:     cfg.Zone,
		Instance: c.Instance,
	}
	e.State = sending
	if c.Action == sillorder.Stop {
		e.State = planned
	}
	e.ChangedAt = t.Now().UnixMilli()
	if err := e.save(ctx, t.Store, guard); err != nil {
		t.Metrics.countWriteFailure("row", err)
		return err
	}
	t.unsent[id] = true
	return t.advance(ctx, guard, e)
}
