package sillidempotency

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Claim is the right to run a request. One of Finish, Release and Lose must
// end it. It is not safe for concurrent use.
type Claim struct {
	keeper   *Keeper
	key      string
	row      row
	revision silltable.Revision
	// remove is true if the claim ends without a row.
	remove bool
}

// write sets the row if it has the revision.
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

// Move binds the claim to another attempt, after the one before surely did not
// run and before the next is sent. On a problem nothing may be sent.
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

// written reads the row back after a lost answer.
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

// Finish keeps the answer for callers that ask again. If the store is away, the
// answer is written later, and until then the agent is asked.
func (c *Claim) Finish(ctx context.Context, a Answer) {
	c.finish(ctx, a)
	c.keeper.setActive(c.row.Nonce, false)
}

func (c *Claim) finish(ctx context.Context, a Answer) {
	k := c.keeper
	if len(a.Body) > k.cfg.MaxInline {
		name := "repeat-" + c.row.Nonce
		if err := k.cfg.PutObject(ctx, name, a.Body); err != nil {
			// The agent keeps the answer for a while; the next caller tries again.
			return
		}
		a.Body, a.Object = nil, name
	}
	c.row.State = done
	c.row.Answer = a
	c.settle(ctx)
}

// Release frees the key after no target received a byte of the request.
func (c *Claim) Release(ctx context.Context) {
	c.remove = true
	c.settle(ctx)
	c.keeper.setActive(c.row.Nonce, false)
}

// Lose records that the request may have run and its answer is lost.
func (c *Claim) Lose(ctx context.Context) {
	c.row.State = unknown
	c.settle(ctx)
	c.keeper.setActive(c.row.Nonce, false)
}

// settle writes the end of the claim now, or leaves it to Sweep.
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
