package sillidempotency

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// sweepPageRows bounds the rows that one call of Sweep reads.
const sweepPageRows = 200

// Settle retries the writes of final claim states that failed before. Claims
// that fail again wait for the next call.
func (k *Keeper) Settle(ctx context.Context) {
	k.mu.Lock()
	unsettled := k.unsettled
	k.unsettled = nil
	k.mu.Unlock()
	for _, c := range unsettled {
		// If an earlier commit took effect but its result was unknown, the revision
		// check fails, and the row holds the final state already.
		c.settle(ctx)
	}
}

// Sweep deletes the expired rows of one page, which starts after the given key.
// It returns the key to pass to the next call, empty after the last page.
func (k *Keeper) Sweep(ctx context.Context, after string) (string, error) {
	rows, err := k.cfg.Store.List(ctx, prefix, after, sweepPageRows)
	if err != nil {
		return after, eris.Wrap(err, "sillidempotency.Sweep: list")
	}
	var txn silltable.Txn
	for _, found := range rows {
		r, err := decode(found)
		if err != nil || !r.expired(k.cfg.Now()) {
			continue
		}
		txn.Checks = append(txn.Checks, silltable.Check{Key: found.Key, Revision: found.Revision})
		txn.Writes = append(txn.Writes, silltable.Write{Key: found.Key, Delete: true})
	}
	if len(txn.Writes) > 0 {
		if _, err := k.cfg.Store.Commit(ctx, txn); err != nil {
			return after, eris.Wrap(err, "sillidempotency.Sweep: commit")
		}
	}
	if len(rows) < sweepPageRows {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}
