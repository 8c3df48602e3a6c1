package sillusage

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// CloserConfig configures a Closer.
type CloserConfig struct {
	Store *silltable.Store
	// Now is the wall clock.
	Now func() time.Time
	// WindowLength must be the same in every process.
	WindowLength time.Duration
	// CloseDelay is the minimum time from a window's end to its freeze; above the
	// flush interval.
	CloseDelay time.Duration
	// DeadAfter is the time without a flush after which an agent counts as dead;
	// several flush intervals.
	DeadAfter time.Duration
	// OrphanGrace replaces DeadAfter once a gateway has written records of the
	// agent; two flush intervals.
	OrphanGrace time.Duration
	Logger      *zap.Logger
	Metrics     *Metrics
}

// Closer seals the rows of ended agents and freezes windows. It recovers its state
// from the table. It is not safe for concurrent use.
type Closer struct {
	CloserConfig
	// observations holds the time since which each agent row has been unchanged.
	observations map[sillid.AgentID]observation
	// lastStep is the time of the last successful read of the table.
	lastStep time.Time
}

type observation struct {
	revision silltable.Revision
	since    time.Time
}

// NewCloser returns a closer without observations.
func NewCloser(cfg CloserConfig) *Closer {
	return &Closer{CloserConfig: cfg, observations: make(map[sillid.AgentID]observation)}
}

// maxRounds bounds the number of windows that one Step freezes.
const maxRounds = 64

// Step seals ended agents and freezes every window that is due, in order. Every
// change is one transaction, so the caller can simply call again after an error.
func (c *Closer) Step(ctx context.Context, guard silllease.Guard) error {
	for range maxRounds {
		v, err := readView(ctx, c.Store)
		if err != nil {
			// Agents cannot flush either while the table is down.
			clear(c.observations)
			return eris.Wrap(err, "sillusage.Closer.Step")
		}
		more, err := c.advance(ctx, guard, &v)
		if err != nil {
			return eris.Wrap(err, "sillusage.Closer.Step")
		}
		if !more {
			return nil
		}
	}
	return nil
}

// advance makes at most one kind of change and reports whether another may follow.
func (c *Closer) advance(ctx context.Context, guard silllease.Guard, v *view) (bool, error) {
	now := c.Now()
	c.observe(now, v)
	if v.closedRevision == silltable.Absent {
		return false, c.open(ctx, guard, now)
	}
	sealed, err := c.seal(ctx, guard, now, v)
	if sealed || err != nil {
		return sealed, err
	}
	end := v.firstOpen.Next(c.WindowLength)
	if now.Before(time.UnixMilli(int64(end)).Add(c.CloseDelay)) {
		return false, nil
	}
	if blockers := v.blockers(end); len(blockers) > 0 {
		c.Logger.Info("Usage window stays open; agents may still add to it.",
			zap.Int64("window", int64(v.firstOpen)), zap.Int("agents", len(blockers)))
		return false, nil
	}
	return true, c.freeze(ctx, guard, v)
}

// observe records since when each row has been unchanged. It starts over after a
// pause of the closer itself, in which it can't have seen the rows change.
func (c *Closer) observe(now time.Time, v *view) {
	if now.Sub(c.lastStep) > c.OrphanGrace {
		clear(c.observations)
	}
	c.lastStep = now
	seen := make(map[sillid.AgentID]observation)
	for _, id := range v.agentIDs() {
		o, ok := c.observations[id]
		revision := v.agents[id].revision
		if !ok || o.revision != revision {
			o = observation{revision: revision, since: now}
		}
		seen[id] = o
	}
	c.observations = seen
}

func (c *Closer) open(ctx context.Context, guard silllease.Guard, now time.Time) error {
	_, err := c.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check, {Key: closedKey, Revision: silltable.Absent}},
		Writes: []silltable.Write{{
			Key:   closedKey,
			Value: encodeRow(closedRow{FirstOpen: WindowOf(now, c.WindowLength)}),
		}},
	})
	return eris.Wrap(err, "sillusage.Closer.open")
}

// sealReason returns why the agent's row can be sealed, or "" if it can't be.
func (c *Closer) sealReason(now time.Time, v *view, id sillid.AgentID) string {
	idle := now.Sub(c.observations[id].since)
	_, orphaned := v.orphans[id]
	switch {
	case v.agents[id].Final:
		return "final"
	case orphaned && idle >= c.OrphanGrace:
		return "orphaned"
	case idle >= c.DeadAfter:
		return "silent"
	default:
		return ""
	}
}

// seal seals the rows of agents that have ended or count as dead. It checks the
// row's revision, so that the sealed figures are the agent's last; the agent's own
// writes check that it is not sealed.
func (c *Closer) seal(ctx context.Context, guard silllease.Guard, now time.Time, v *view) (bool, error) {
	sealedAny := false
	for _, id := range v.agentIDs() {
		reason := c.sealReason(now, v, id)
		if _, done := v.sealed[id]; done || reason == "" {
			continue
		}
		a := v.agents[id]
		_, err := c.Store.Commit(ctx, silltable.Txn{
			Checks: []silltable.Check{
				guard.Check,
				{Key: agentKey(id), Revision: a.revision},
				{Key: sealedKey(id), Revision: silltable.Absent},
			},
			Writes: []silltable.Write{{
				Key:   sealedKey(id),
				Value: encodeRow(sealedRow{Covered: a.Covered, At: now.UnixMilli()}),
			}},
		})
		if err != nil {
			return sealedAny, eris.Wrapf(err, "sillusage.Closer.seal: agent %s", id)
		}
		sealedAny = true
		c.Metrics.Seals.WithLabelValues(reason).Inc()
		c.Logger.Info("Sealed the usage row of an agent.", zap.String("agent", string(id)), zap.String("reason", reason))
	}
	return sealedAny, nil
}

func (c *Closer) freeze(ctx context.Context, guard silllease.Guard, v *view) error {
	txn, s := v.freezeTxn(c.WindowLength)
	txn.Checks = append(txn.Checks, guard.Check)
	if _, err := c.Store.Commit(ctx, txn); err != nil {
		return eris.Wrapf(err, "sillusage.Closer.freeze: window %d", v.firstOpen)
	}
	c.Metrics.Frozen.Add(float64(len(s)))
	for _, byOrigin := range s {
		for origin, f := range byOrigin {
			if origin != v.firstOpen {
				c.Metrics.Carried.Add(float64(f.Requests))
			}
		}
	}
	return nil
}
