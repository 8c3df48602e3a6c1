package sillusage

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// CollectorConfig configures a Collector.
type CollectorConfig struct {
	Store *silltable.Store
	// Now is the wall clock.
	Now func() time.Time
	// Retention is the age at which rows that are no longer needed are deleted. It
	// is longer than the time in which a gateway may still write records of a dead
	// agent.
	Retention time.Duration
}

// Collector deletes old rows of the package from the table.
type Collector struct {
	CollectorConfig
}

// NewCollector returns a collector.
func NewCollector(cfg CollectorConfig) *Collector {
	return &Collector{CollectorConfig: cfg}
}

// Step deletes the rows of sealed agents whose figures are all in frozen windows,
// and of sent windows, once they are older than Retention.
func (c *Collector) Step(ctx context.Context, guard silllease.Guard) error {
	v, err := readView(ctx, c.Store)
	if err != nil {
		return eris.Wrap(err, "sillusage.Collector.Step")
	}
	limit := c.Now().Add(-c.Retention).UnixMilli()
	for id, s := range v.sealed {
		if s.At > limit || !v.isCounted(id) {
			continue
		}
		if err := c.deleteAgent(ctx, guard, &v, id); err != nil {
			return eris.Wrap(err, "sillusage.Collector.Step")
		}
	}
	return eris.Wrap(c.deleteSent(ctx, guard, limit), "sillusage.Collector.Step")
}

// isCounted reports whether every figure of a sealed agent is in a frozen window.
func (v *view) isCounted(id sillid.AgentID) bool {
	for _, t := range v.agents[id].Totals {
		if t.Window >= v.firstOpen {
			return false
		}
	}
	sealed := v.sealed[id]
	for sequence := range v.orphans[id] {
		if sequence > sealed.Covered && !contains(sealed.Counted, sequence) {
			return false
		}
	}
	return true
}

func (c *Collector) deleteAgent(ctx context.Context, guard silllease.Guard, v *view, id sillid.AgentID) error {
	txn := silltable.Txn{
		Checks: append([]silltable.Check{guard.Check}, v.orphanRows[id]...),
		Writes: []silltable.Write{{Key: agentKey(id), Delete: true}, {Key: sealedKey(id), Delete: true}},
	}
	for _, check := range v.orphanRows[id] {
		txn.Writes = append(txn.Writes, silltable.Write{Key: check.Key, Delete: true})
	}
	_, err := c.Store.Commit(ctx, txn)
	return eris.Wrapf(err, "sillusage.deleteAgent: agent %s", id)
}

func (c *Collector) deleteSent(ctx context.Context, guard silllease.Guard, limit int64) error {
	return eachRow(ctx, c.Store, sentPrefix, func(row silltable.Row) error {
		var sent windowRow
		if err := decodeRow(row, &sent); err != nil || sent.SentAt > limit {
			return err
		}
		_, err := c.Store.Commit(ctx, silltable.Txn{
			Checks: []silltable.Check{guard.Check, {Key: row.Key, Revision: row.Revision}},
			Writes: []silltable.Write{{Key: row.Key, Delete: true}},
		})
		return err
	})
}
