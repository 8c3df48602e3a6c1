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

// A claim is one row, written after the target is chosen and before anything is
// sent, and once more with the response. It names the agent and the attempt, so
// a third write for "sent" is not needed: a gateway that finds the orphaned
// claim of a dead gateway asks the agent, which knows whether it received the
// attempt and refuses the attempt if it arrives later.

// AttemptState is the state of an attempt as its agent reports it.
type AttemptState string

// The states of an attempt.
const (
	// NotReceived means that the agent has not received the attempt and refuses it from now on.
	NotReceived AttemptState = "never-came"
	Running     AttemptState = "running"
	Finished    AttemptState = "finished"
	// Lost means that the agent is unreachable or has restarted, or that its
	// response is lost.
	Lost AttemptState = "lost"
)

// Config holds the dependencies and limits of a Keeper.
type Config struct {
	Gateway sillid.GatewayID
	Store   *silltable.Store
	Now     func() time.Time
	// Nonce returns a unique name.
	Nonce func() string
	// IsAlive reports whether another gateway may still hold its claims. It may
	// be wrong either way: a wrong false costs a lookup at the agent.
	IsAlive func(sillid.GatewayID) bool
	// LookUp asks the agent for the state of an attempt. The response is set
	// only with Finished.
	LookUp func(ctx context.Context, place Place) (AttemptState, Response)
	// PutObject and GetObject store and read the bodies that are too large for a row.
	PutObject func(ctx context.Context, name string, body []byte) error
	GetObject func(ctx context.Context, name string) ([]byte, error)
	// Lifetime is the time from the last write of a row to its expiry, thus how
	// long a response is kept; 0 means DefaultLifetime.
	Lifetime time.Duration
	// MaxInline is the largest body in bytes that is stored in the row; larger
	// ones go to the object store. 0 means DefaultMaxInline.
	MaxInline int
}

const (
	// DefaultLifetime is the default of Config.Lifetime.
	DefaultLifetime = 24 * time.Hour
	// DefaultMaxInline is the default of Config.MaxInline, in bytes.
	DefaultMaxInline = 32 << 10
	// runningRetryAfter is the Retry-After while the first request is in flight.
	runningRetryAfter = time.Second
	// storeRetryAfter is the Retry-After while the store is unavailable.
	storeRetryAfter = 2 * time.Second
	// orphanDelay is the age up to which the claim of another live gateway counts
	// as in flight without a lookup. After it the attempt has been sent, or the
	// agent may refuse it so that the request is tried again.
	orphanDelay = 3 * time.Second
	// maxClaimWrites bounds the transactions in one call of Keeper.Claim.
	maxClaimWrites = 4
	// maxUnsettled bounds the claims whose final state is not written yet.
	maxUnsettled = 1000
)

// Keeper claims idempotency keys. It is safe for concurrent use.
type Keeper struct {
	cfg Config

	mu sync.Mutex
	// active holds the nonces of the claims for which this gateway may still
	// send an attempt.
	active map[string]bool
	// unsettled holds the ended claims whose final state is still to be written.
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

// Claim claims the request's key. Exactly one result is not nil: the claim if
// the request is to be sent now, the stored response if it has run before, or a
// problem.
func (k *Keeper) Claim(ctx context.Context, r Request) (*Claim, *Response, *sillproblem.Problem) {
	c := &Claim{keeper: k, key: rowKey(r.Organisation, r.Key)}
	c.row = row{
		Fingerprint: r.Fingerprint,
		State:       claimed,
		Gateway:     k.cfg.Gateway,
		Nonce:       k.cfg.Nonce(),
		Place:       r.Place,
	}
	k.setActive(c.row.Nonce, true)
	response, problem := k.claim(ctx, c)
	if response == nil && problem == nil {
		return c, nil, nil
	}
	// No attempt is sent for this claim from here on, even if its row was written.
	k.setActive(c.row.Nonce, false)
	return nil, response, problem
}

func (k *Keeper) claim(ctx context.Context, c *Claim) (*Response, *sillproblem.Problem) {
	revision := silltable.Absent
	for range maxClaimWrites {
		err := c.write(ctx, revision)
		switch {
		case err == nil:
			return nil, nil
		case errors.Is(err, silltable.ErrUnavailable):
			return nil, unavailable(err)
		}
		// Either the key is taken or the result of the commit is unknown; the row
		// shows which.
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
		response, problem := k.resolve(ctx, c, found, r)
		if response != nil || problem != nil {
			return response, problem
		}
	}
	return nil, unavailable(errors.New("the claim could not be settled"))
}

func unavailable(err error) *sillproblem.Problem {
	return sillproblem.New(sillproblem.StoreUnavailable, "%v.", err).WithRetryAfter(storeRetryAfter)
}

// resolve returns the response or problem that follows from the stored claim of
// the key. If it returns neither, c may replace the stored row.
func (k *Keeper) resolve(ctx context.Context, c *Claim, found silltable.Row, r row) (*Response, *sillproblem.Problem) {
	switch {
	case r.expired(k.cfg.Now()):
		return nil, nil
	case r.Fingerprint != c.row.Fingerprint:
		return nil, sillproblem.New(sillproblem.RepeatMismatch, "")
	case r.State == done && r.Response.check() != nil:
		return nil, outcomeUnknown()
	case r.State == done:
		return k.load(ctx, r.Response)
	case r.State == unknown:
		return nil, outcomeUnknown()
	case r.Gateway == k.cfg.Gateway && !k.isActive(r.Nonce):
		return k.resolveOrphan(ctx, c, found, r)
	case r.Gateway == k.cfg.Gateway || (k.cfg.IsAlive(r.Gateway) && k.isFresh(r)):
		return nil, running()
	default:
		return k.resolveOrphan(ctx, c, found, r)
	}
}

// isFresh reports whether a claim was written less than orphanDelay ago. Being
// listed as alive is not enough, because the list of gateways names a dead one
// for longer than its agent keeps the response.
func (k *Keeper) isFresh(r row) bool {
	written := time.UnixMilli(r.Expires).Add(-k.cfg.Lifetime)
	return k.cfg.Now().Before(written.Add(orphanDelay))
}

// resolveOrphan asks the agent for the attempt of an orphaned claim, and stores
// the result. If it returns neither a response nor a problem, the attempt never
// runs and c may replace the row.
func (k *Keeper) resolveOrphan(ctx context.Context, c *Claim, found silltable.Row, r row) (*Response, *sillproblem.Problem) {
	state, response := k.cfg.LookUp(ctx, r.Place)
	switch state {
	case NotReceived:
		return nil, nil
	case Running:
		return nil, running()
	}
	orphan := &Claim{keeper: k, key: c.key, row: r, revision: found.Revision}
	if state == Finished && response.check() == nil {
		// The caller gets the response even if it can't be stored now.
		orphan.finish(ctx, response)
		return &response, nil
	}
	// If this write fails, the next request with the key repeats the lookup.
	orphan.row.State = unknown
	_ = orphan.write(ctx, found.Revision)
	return nil, outcomeUnknown()
}

func running() *sillproblem.Problem {
	p := sillproblem.New(sillproblem.RepeatRunning, "")
	return p.WithOutcome(sillproblem.OutcomeUnknown).WithRetryAfter(runningRetryAfter)
}

func outcomeUnknown() *sillproblem.Problem {
	return sillproblem.New(sillproblem.RepeatUnknown, "").WithOutcome(sillproblem.OutcomeUnknown)
}

// load returns the stored response with its body, which it reads from the object
// store if the row does not hold it.
func (k *Keeper) load(ctx context.Context, response Response) (*Response, *sillproblem.Problem) {
	if response.Object == "" {
		return &response, nil
	}
	body, err := k.cfg.GetObject(ctx, response.Object)
	if err != nil {
		p := sillproblem.New(sillproblem.StoreUnavailable, "the stored answer can't be read: %v.", err)
		return nil, p.WithOutcome(sillproblem.OutcomeUnknown).WithRetryAfter(storeRetryAfter)
	}
	response.Body, response.Object = body, ""
	return &response, nil
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
