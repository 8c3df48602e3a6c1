package silllease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// FencingNumbers allocates fencing numbers for an interface that receives orders
// under several leases. Such an interface compares every order with the highest
// number that it has seen, but epochs of different leases can't be compared. Each
// order therefore gets the next number of one shared row, which only the current
// holder of the order's lease can allocate: every number of a replaced holder is
// lower than the numbers that its successor allocates.
type FencingNumbers struct {
	// Store is the platform's table service.
	Store *silltable.Store
	// Name is the name of the interface in the row's key.
	Name string
}

// FencingKey returns the key of the row that holds the last number of an interface.
func FencingKey(name string) string { return "fencing/" + name }

type numberRow struct {
	Last sillid.Epoch `json:"last"`
}

// allocateAttempts bounds the attempts, which conflict with holders of other leases
// that allocate at the same time.
const allocateAttempts = 8

// Next allocates a number. It returns silltable.ErrConflict if another process has
// acquired the guard's lease or if every attempt conflicted, and otherwise the
// errors of Store.
func (n FencingNumbers) Next(ctx context.Context, guard Guard) (sillid.Epoch, error) {
	var last error
	for range allocateAttempts {
		number, err := n.allocate(ctx, guard)
		if err == nil {
			return number, nil
		}
		last = err
		if !errors.Is(err, silltable.ErrConflict) {
			break
		}
	}
	return 0, eris.Wrap(last, "silllease.Next")
}

func (n FencingNumbers) allocate(ctx context.Context, guard Guard) (sillid.Epoch, error) {
	row, err := n.Store.GetOrAbsent(ctx, FencingKey(n.Name))
	if err != nil {
		return 0, err
	}
	var r numberRow
	if len(row.Value) > 0 {
		if err := json.Unmarshal(row.Value, &r); err != nil {
			return 0, err
		}
	}
	r.Last = max(r.Last, guard.Epoch) + 1
	_, err = n.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check, {Key: row.Key, Revision: row.Revision}},
		Writes: []silltable.Write{{Key: row.Key, Value: encode(r)}},
	})
	return r.Last, err
}
