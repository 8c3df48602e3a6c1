package sillidempotency

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Claim is the right to run a request. Its holder must end it with one of
// Finish, Release and MarkUnknown. It is not safe for concurrent use.
type Claim struct {
	keeper   *Keeper
	key      string
	row      row
	revision silltable.Revision
	// remove means that the next write deletes the row.
	remove bool
}

// write replaces the row, or deletes it if c.remove is set, provided that the
// stored row has the given revision (compare-and-set). It renews the expiry.
func (c *Claim) write(ctx context.Context, revision silltable.Revision) error {
	k := c.keeper
	c.row.Expires = k.cfg.Now().Add(k.cfg.Lifetime).UnixMilli()
	txn := silltable.Txn{
		Checks: []silltable.Check{{Key: c.key, Revision: revision}},
		Writes: []silltable.Write{{Key: c.key, Value: encode(c.row)}},
	}
	if c.remove {
		txn.Writes = []silltable.Write{{Key: c.key, Delete: true}}
	}
	revisions, err := k.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return eris.Wrap(err, "sillidempotency.write")
	}
	c.revision = revisions[0]
	return nil
}

// Move binds the claim to another attempt. It must be called after the previous
// attempt is known not to have run and before the next one is sent. If it
// returns a problem, the next attempt must not be sent.
func (c *Claim) Move(ctx context.Context, place Place) *sillproblem.Problem {
	before := c.revision
	c.row.Place = place
	err := c.write(ctx, before)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, silltable.ErrConflict):
		return running()
	case errors.Is(err, silltable.ErrUnknown) && c.written(ctx):
		return nil
	default:
		return unavailable(err)
	}
}

// written reads the row back after a commit with an unknown result and reports
// whether the commit took effect.
func (c *Claim) written(ctx context.Context) bool {
	found, err := c.keeper.cfg.Store.GetOrAbsent(ctx, c.key)
	if err != nil || found.Revision == silltable.Absent {
		return false
	}
	r, err := decode(found)
	if err != nil || r.Nonce != c.row.Nonce || r.Place != c.row.Place || r.State != c.row.State {
		return false
	}
	c.revision = found.Revision
	return true
}

// Finish stores the response, so that it is replayed to callers that repeat the
// request. If the store is unavailable, Keeper.Settle writes the response
// later, and until then repeated requests get it from the agent.
func (c *Claim) Finish(ctx context.Context, response Response) {
	c.finish(ctx, response)
	c.keeper.setActive(c.row.Nonce, false)
}

func (c *Claim) finish(ctx context.Context, response Response) {
	k := c.keeper
	if len(response.Body) > k.cfg.MaxInline {
		name := "repeat-" + c.row.Nonce
		if err := k.cfg.PutObject(ctx, name, response.Body); err != nil {
			// The agent keeps the response for a while, so the next request with
			// this key fetches it from there and tries to store it again.
			return
		}
		response.Body, response.Object = nil, name
	}
	c.row.State = done
	c.row.Response = response
	c.settle(ctx)
}

// Release deletes the claim, so that the key can be claimed again. It may be
// called only if no target received a byte of the request.
func (c *Claim) Release(ctx context.Context) {
	c.remove = true
	c.settle(ctx)
	c.keeper.setActive(c.row.Nonce, false)
}

// MarkUnknown records that the request may have run and its response is lost.
func (c *Claim) MarkUnknown(ctx context.Context) {
	c.row.State = unknown
	c.settle(ctx)
	c.keeper.setActive(c.row.Nonce, false)
}

// settle writes the final state of the claim. A conflict needs no retry: the row
// has been replaced or removed, or holds the final state already. After any other
// error the claim is queued for Keeper.Settle, unless the queue is full.
func (c *Claim) settle(ctx context.Context) {
	err := c.write(ctx, c.revision)
	if err == nil || errors.Is(err, silltable.ErrConflict) {
		return
	}
	k := c.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.unsettled) < maxUnsettled {
		k.unsettled = append(k.unsettled, c)
	}
}
