package sillidempotency

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// sweepPage is the number of rows that one Sweep reads.
const sweepPage = 200

// Settle writes the ends of claims again that could not be written.
func (k *Keeper) Settle(ctx context.Context) {
	k.mu.Lock()
	unsettled := k.unsettled
	k.unsettled = nil
	k.mu.Unlock()
	for _, c := range unsettled {
		// After a lost answer the check fails, and the row holds the end already.
		c.settle(ctx)
	}
}

// Sweep deletes the expired rows of one page after the key and returns the key
// that the next call continues after; it is empty at the end.
func (k *Keeper) Sweep(ctx context.Context, after string) (string, error) {
	rows, err := k.cfg.Store.List(ctx, prefix, after, sweepPage)
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
	if len(rows) < sweepPage {
		return "", nil
	}
	return rows[len(rows)-1].Key, nil
}
