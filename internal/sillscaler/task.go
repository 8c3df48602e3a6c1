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

// TaskConfig holds what the scaler of one shard needs.
type TaskConfig struct {
	// Shard names the rows and the lease; it holds no slash.
	Shard  string
	Policy Policy
	Store  *silltable.Store
	Orders *sillorder.Client
	// Instances reads the platform's list.
	Instances func(ctx context.Context) (sillinstance.List, error)
	// Zones returns the pools and availability zones of the shard, as the bundle in force has them.
	Zones func() []ZoneConfig
	// Loads returns the last load reports heard of a pool's targets in a zone.
	Loads func(pool sillid.PoolID, zone sillid.ZoneID) map[sillid.TargetID]Load
	// Drain tells the target's agent to take no new work, and returns true once
	// the agent says that nothing runs and everything that ran has its whole
	// answer or goes on elsewhere. It is called again until then, and once more
	// before the stop is sent. A target whose agent is gone for good counts as drained.
	Drain func(ctx context.Context, target sillid.TargetID) (bool, error)
	// NewID returns a fresh order id.
	NewID func() sillorder.ID
	// Now is the wall clock.
	Now func() time.Time
	// Fencing draws the fencing number of one send; it fails for a replaced
	// holder. nil stands for the epoch, which fits an interface that takes the
	// orders of one lease only.
	Fencing func(ctx context.Context, guard silllease.Guard) (sillid.Epoch, error)
	// Interval is the time between two steps.
	Interval time.Duration
	// SettleTime is how long a fresh holder waits before its first step; at
	// least the longest timeout of an order.
	SettleTime time.Duration
	// ListLag bounds how long a started instance may be missing in the list, and
	// a stopped one be listed. It is also how long closed rows are kept.
	ListLag time.Duration
	Logger  *zap.Logger
	Metrics *Metrics
}

// Task scales the zones of one shard. One goroutine uses it; a fresh one needs
// nothing but the table and the platform.
type Task struct {
	TaskConfig
	zones map[zoneKey]*ZoneScaler
	// unsent are orders whose row this Task made and which it has not sent yet.
	unsent map[sillorder.ID]bool
}

type zoneKey struct {
	pool sillid.PoolID
	zone sillid.ZoneID
}

// ErrLeaseLost is returned if the lease ended before an order.
var ErrLeaseLost = errors.New("lease lost: leave orders to the next holder")

// NewTask returns a task that has decided nothing.
func NewTask(cfg TaskConfig) *Task {
	return &Task{
		TaskConfig: cfg,
		zones:      make(map[zoneKey]*ZoneScaler),
		unsent:     make(map[sillorder.ID]bool),
	}
}

// Run works until ctx ends, which it does when the lease is lost.
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
			t.Logger.Warn("scale: step failed", zap.Error(err))
		}
	}
}

// Step brings open orders forward and then decides on new ones. An error leaves
// rows that the next step, or the next holder, goes on with.
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
	err = t.each(entries, func(e *entry) error { return t.collect(ctx, guard, e, index) })
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

// decide makes the rows of the zone's new orders and sends the starts.
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

// begin makes the row of one order; a start is sent at once.
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
		t.Metrics.refused("row", err)
		return err
	}
	t.unsent[id] = true
	return t.advance(ctx, guard, e)
}
