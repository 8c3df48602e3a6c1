package sillidempotency

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// A claim is one row, written after the target was chosen and before anything
// is sent, and once more with the answer. It names the agent and the attempt,
// so a third write for "sent" is not needed: whoever finds the claim of a dead
// gateway asks the agent, which knows whether the attempt came and refuses it
// if it comes later.

// Fate is what an agent says of an attempt.
type Fate string

// The fates of an attempt.
const (
	// NeverCame means that the agent does not know the attempt, and refuses it from now on.
	NeverCame Fate = "never-came"
	Running   Fate = "running"
	Finished  Fate = "finished"
	// Lost means that the agent, or its answer, is gone.
	Lost Fate = "lost"
)

// Config holds what a Keeper needs.
type Config struct {
	Gateway sillid.GatewayID
	Store   *silltable.Store
	Now     func() time.Time
	// Nonce returns a fresh name.
	Nonce func() string
	// IsAlive tells whether another gateway may still hold its claims. It may
	// be wrong either way: a wrong "no" costs a lookup.
	IsAlive func(sillid.GatewayID) bool
	// LookUp asks the agent of a place; the answer comes with Finished.
	LookUp func(ctx context.Context, place Place) (Fate, Answer)
	// PutObject and GetObject keep the bodies that are too large for a row.
	PutObject func(ctx context.Context, name string, body []byte) error
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// Lifetime is how long an answer is kept; 0 means DefaultLifetime.
	Lifetime time.Duration
	// MaxInline bounds the body in a row; 0 means DefaultMaxInline.
	MaxInline int
}

const (
	// DefaultLifetime is how long an answer is kept.
	DefaultLifetime = 24 * time.Hour
	// DefaultMaxInline bounds the body of an answer in its row.
	DefaultMaxInline = 32 << 10
	// askAgain is the wait that a caller is told while its request runs.
	askAgain = time.Second
	// storeWait is the wait that a caller is told while the store is away.
	storeWait = 2 * time.Second
	// holdTime is how long the claim of another gateway is left alone. Then its
	// attempt has been sent, or may be refused and tried anew.
	holdTime = 3 * time.Second
	// maxTries bounds the transactions of one claim.
	maxTries = 4
	// maxUnsettled bounds the claims whose end could not be written yet.
	maxUnsettled = 1000
)

// Keeper claims idempotency keys. It is safe for concurrent use.
type Keeper struct {
	cfg Config

	mu sync.Mutex
	// active holds the nonces of the claims that this gateway may still send for.
	active map[string]bool
	// unsettled holds the ends of claims that are to be written again.
	unsettled []*Claim
}

// NewKeeper returns a keeper without claims.
func NewKeeper(cfg Config) *Keeper {
	if cfg.Lifetime == 0 {
		cfg.Lifetime = DefaultLifetime
	}
	if cfg.MaxInline == 0 {
		cfg.MaxInline = DefaultMaxInline
	}
	return &Keeper{cfg: cfg, active: make(map[string]bool)}
}

// Claim claims the request's key. It returns the claim if the request is to be
// sent now, the answer if it ran before, or a problem.
func (k *Keeper) Claim(ctx context.Context, r Request) (*Claim, *Answer, *sillproblem.Problem) {
	c := &Claim{keeper: k, key: rowKey(r.Organisation, r.Key)}
	c.row = row{
		Fingerprint: r.Fingerprint,
		State:       claimed,
		Gateway:     k.cfg.Gateway,
		Nonce:       k.cfg.Nonce(),
		Place:       r.Place,
	}
	k.setActive(c.row.Nonce, true)
	answer, problem := k.claim(ctx, c)
	if answer == nil && problem == nil {
		return c, nil, nil
	}
	// From here on this claim is never sent for, also if its row was written.
	k.setActive(c.row.Nonce, false)
	return nil, answer, problem
}

func (k *Keeper) claim(ctx context.Context, c *Claim) (*Answer, *sillproblem.Problem) {
	revision := silltable.Absent
	for range maxTries {
		err := c.write(ctx, revision)
		switch {
		case err == nil:
			return nil, nil
		case errors.Is(err, silltable.ErrUnavailable):
			return nil, unavailable(err)
		}
		// The key is taken, or the answer was lost: the row tells.
		found, err := k.cfg.Store.GetOrAbsent(ctx, c.key)
		if err != nil {
			return nil, unavailable(err)
		}
		if revision = found.Revision; revision == silltable.Absent {
			continue
		}
		r, err := decode(found)
		if err != nil {
			return nil, sillproblem.New(sillproblem.Internal, "%v", err)
		}
		if r.Nonce == c.row.Nonce {
			c.revision = revision
			return nil, nil
		}
		answer, problem := k.judge(ctx, c, found, r)
		if answer != nil || problem != nil {
			return answer, problem
		}
	}
	return nil, unavailable(errors.New("the claim could not be settled"))
}

func unavailable(err error) *sillproblem.Problem {
	return sillproblem.New(sillproblem.StoreUnavailable, "%v.", err).WithRetryAfter(storeWait)
}

// judge tells what another claim of the key means. No answer and no problem
// mean that the row may be replaced.
func (k *Keeper) judge(ctx context.Context, c *Claim, found silltable.Row, r row) (*Answer, *sillproblem.Problem) {
	switch {
	case r.expired(k.cfg.Now()):
		return nil, nil
	case r.Fingerprint != c.row.Fingerprint:
		return nil, sillproblem.New(sillproblem.RepeatMismatch, "")
	case r.State == done:
		return k.load(ctx, r.Answer)
	case r.State == unknown:
		return nil, lost()
	case r.Gateway == k.cfg.Gateway && !k.isActive(r.Nonce):
		return k.judgeOrphan(ctx, c, found, r)
	case r.Gateway == k.cfg.Gateway || (k.cfg.IsAlive(r.Gateway) && k.isFresh(r)):
		return nil, running()
	default:
		return k.judgeOrphan(ctx, c, found, r)
	}
}

// isFresh tells whether a claim was written a short while ago. The list of
// gateways names a dead one for longer than its agent keeps the answer.
func (k *Keeper) isFresh(r row) bool {
	written := time.UnixMilli(r.Expires).Add(-k.cfg.Lifetime)
	return k.cfg.Now().Before(written.Add(holdTime))
}

// judgeOrphan asks the agent of a claim whose holder is gone.
func (k *Keeper) judgeOrphan(ctx context.Context, c *Claim, found silltable.Row, r row) (*Answer, *sillproblem.Problem) {
	fate, answer := k.cfg.LookUp(ctx, r.Place)
	switch fate {
	case NeverCame:
		return nil, nil
	case Running:
		return nil, running()
	}
	orphan := &Claim{keeper: k, key: c.key, row: r, revision: found.Revision}
	if fate == Finished {
		// The answer is the caller's also if it can't be kept now.
		orphan.finish(ctx, answer)
		return &answer, nil
	}
	// If this write fails, the next caller finds the same.
	orphan.row.State = unknown
	_ = orphan.write(ctx, found.Revision)
	return nil, lost()
}

func running() *sillproblem.Problem {
	p := sillproblem.New(sillproblem.RepeatRunning, "")
	return p.WithOutcome(sillproblem.OutcomeUnknown).WithRetryAfter(askAgain)
}

func lost() *sillproblem.Problem {
	return sillproblem.New(sillproblem.RepeatUnknown, "").WithOutcome(sillproblem.OutcomeUnknown)
}

func (k *Keeper) load(ctx context.Context, a Answer) (*Answer, *sillproblem.Problem) {
	if a.Object == "" {
		return &a, nil
	}
	body, err := k.cfg.GetObject(ctx, a.Object)
	if err != nil {
		p := sillproblem.New(sillproblem.StoreUnavailable, "the stored answer can't be read: %v.", err)
		return nil, p.WithOutcome(sillproblem.OutcomeUnknown).WithRetryAfter(storeWait)
	}
	a.Body, a.Object = body, ""
	return &a, nil
}

func (k *Keeper) setActive(nonce string, active bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if active {
		k.active[nonce] = true
		return
	}
	delete(k.active, nonce)
}

func (k *Keeper) isActive(nonce string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.active[nonce]
}
