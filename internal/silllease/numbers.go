package silllease

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// FencingNumbers draws fencing numbers for an interface that several leases give orders
// to. Epochs of different leases can't be compared, and such an interface
// compares every order with the highest number that it has seen. So each order
// gets the next number of one row, which only the holder of the order's lease
// can draw: a number of a replaced holder is below each number that its
// successor draws.
type FencingNumbers struct {
	// Store is the platform's table service.
	Store *silltable.Store
	// Name is the interface, as in the row's key.
	Name string
}

// FencingKey returns the key of the row that holds an interface's last number.
func FencingKey(name string) string { return "fencing/" + name }

type numberRow struct {
	Last sillid.Epoch `json:"last"`
}

// drawAttempts bounds the tries against holders of other leases.
const drawAttempts = 8

// Next draws a number. It fails if another holder has replaced the guard's.
func (n FencingNumbers) Next(ctx context.Context, guard Guard) (sillid.Epoch, error) {
	var last error
	for range drawAttempts {
		number, err := n.draw(ctx, guard)
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

func (n FencingNumbers) draw(ctx context.Context, guard Guard) (sillid.Epoch, error) {
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
