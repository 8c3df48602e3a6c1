package sillscaler

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// state is the progress of an order.
type state string

const (
	// planned is a stop whose target is still draining; it has not been sent.
	planned state = "planned"
	// sending is an order that may have been sent. The current lease holder
	// completes it under the same id and never replaces it by another order.
	sending state = "sending"
	// done is an order that the platform accepted.
	done state = "done"
	// rejected is an order that the platform permanently rejected.
	rejected state = "void"
)

// orderRow is the stored form of one order.
type orderRow struct {
	State state           `json:"state"`
	Order sillorder.Order `json:"order"`
	// Target is the target to drain before a stop.
	Target sillid.TargetID `json:"target,omitempty"`
	// Started is the instance that an accepted start order created.
	Started sillid.InstanceID `json:"started,omitempty"`
	// ChangedAt is when the state was set, in Unix milliseconds.
	ChangedAt int64 `json:"changed-at"`
}

// entry is an order row with its key and revision.
type entry struct {
	orderRow
	key      string
	revision silltable.Revision
}

// isOpen reports whether the order must still be sent or confirmed.
func (e *entry) isOpen() bool {
	return e.State == planned || e.State == sending
}

func rowPrefix(shard string) string { return "order/" + shard + "/" }

func readEntries(ctx context.Context, store *silltable.Store, shard string) ([]*entry, error) {
	rows, err := store.ListAll(ctx, rowPrefix(shard))
	if err != nil {
		return nil, eris.Wrap(err, "sillscaler.readEntries")
	}
	entries := make([]*entry, len(rows))
	for i, row := range rows {
		e := &entry{key: row.Key, revision: row.Revision}
		if err := json.Unmarshal(row.Value, &e.orderRow); err != nil {
			return nil, eris.Wrapf(err, "sillscaler.readEntries: row %q", row.Key)
		}
		entries[i] = e
	}
	return entries, nil
}

// save writes the row if it is unchanged since it was read and the lease holder
// has not been replaced.
func (e *entry) save(ctx context.Context, store *silltable.Store, guard silllease.Guard) error {
	// The row holds only strings and numbers, which always encode.
	value, _ := json.Marshal(e.orderRow)
	revisions, err := store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check, {Key: e.key, Revision: e.revision}},
		Writes: []silltable.Write{{Key: e.key, Value: value}},
	})
	if err != nil {
		return eris.Wrapf(err, "sillscaler.save: row %q", e.key)
	}
	e.revision = revisions[0]
	return nil
}

func (e *entry) remove(ctx context.Context, store *silltable.Store, guard silllease.Guard) error {
	_, err := store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check, {Key: e.key, Revision: e.revision}},
		Writes: []silltable.Write{{Key: e.key, Delete: true}},
	})
	return eris.Wrapf(err, "sillscaler.remove: row %q", e.key)
}
