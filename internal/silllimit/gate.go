package silllimit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// errCallerGone is the cause when the caller disconnected while its entry
// waited.
var errCallerGone = errors.New("caller gone: nothing to answer")

// GateConfig holds the settings and dependencies of a Gate.
type GateConfig struct {
	Queue Config
	// Now returns the current time.
	Now func() time.Time
	// Refused is called for each refusal, with the Gate locked; it may be nil.
	Refused func(Refusal)
}

// Gate lets goroutines wait for a slot of a Queue. It is safe for concurrent use.
type Gate struct {
	now     func() time.Time
	refused func(Refusal)

	mu    sync.Mutex
	queue *Queue
	// waiters holds a channel of capacity 1 for each waiting entry. It receives
	// nil when the entry starts, or the problem if the entry is refused.
	waiters map[sillid.AttemptID]chan *sillproblem.Problem
	// tokenTimer starts waiting entries once the target's limit allows it; nil before the
	// first one has waited for that.
	tokenTimer *time.Timer
}

// NewGate returns a Gate with an empty queue.
func NewGate(cfg GateConfig) *Gate {
	g := &Gate{now: cfg.Now, refused: cfg.Refused, queue: NewQueue(cfg.Queue)}
	if g.refused == nil {
		g.refused = func(Refusal) {}
	}
	g.waiters = make(map[sillid.AttemptID]chan *sillproblem.Problem)
	return g
}

// Acquire waits until the entry gets a slot and returns the function that
// releases the slot, which must be called exactly once. If Acquire returns a
// problem, the entry has not run and will not run.
func (g *Gate) Acquire(ctx context.Context, e Entry) (func(Result), *sillproblem.Problem) {
	if !e.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, e.Deadline.Sub(g.now()), context.DeadlineExceeded)
		defer cancel()
	}
	outcome, p := g.submit(e)
	if p != nil {
		return nil, p
	}
	select {
	case p := <-outcome:
		return g.acquired(e, p)
	case <-ctx.Done():
	}
	if g.cancel(e.ID) {
		return nil, cancelledProblem(ctx)
	}
	// The entry was started or refused at the same time as the context ended.
	return g.acquired(e, <-outcome)
}

func (g *Gate) acquired(e Entry, p *sillproblem.Problem) (func(Result), *sillproblem.Problem) {
	if p != nil {
		return nil, p
	}
	return func(r Result) { g.release(e.ID, r) }, nil
}

func cancelledProblem(ctx context.Context) *sillproblem.Problem {
	cause := context.Cause(ctx)
	if !errors.Is(cause, context.DeadlineExceeded) {
		cause = errCallerGone
	}
	return sillproblem.New(sillproblem.DeadlinePassed, "left the queue: %v.", cause)
}

func (g *Gate) submit(e Entry) (chan *sillproblem.Problem, *sillproblem.Problem) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.waiters[e.ID]; ok {
		return nil, sillproblem.New(sillproblem.Duplicate, "attempt %s waits already.", e.ID)
	}
	outcome := make(chan *sillproblem.Problem, 1)
	g.waiters[e.ID] = outcome
	g.refuse(g.queue.Submit(g.now(), e))
	g.startWaiting()
	return outcome, nil
}

func (g *Gate) cancel(id sillid.AttemptID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.queue.Cancel(id) {
		return false
	}
	delete(g.waiters, id)
	return true
}

func (g *Gate) release(id sillid.AttemptID, r Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Done(id, r)
	g.startWaiting()
}

// startWaiting starts waiting entries until no slot is free, the target's limit allows no
// more, or none waits.
func (g *Gate) startWaiting() {
	for {
		e, dropped, ok := g.queue.Next(g.now())
		g.refuse(dropped)
		if !ok {
			g.awaitToken()
			return
		}
		g.notify(e.ID, nil)
	}
}

func (g *Gate) refuse(refusals []Refusal) {
	for _, r := range refusals {
		g.refused(r)
		g.notify(r.Entry.ID, r.Problem)
	}
}

func (g *Gate) notify(id sillid.AttemptID, p *sillproblem.Problem) {
	g.waiters[id] <- p
	delete(g.waiters, id)
}

// Snapshot returns the current state of the queue.
func (g *Gate) Snapshot() Snapshot {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Snapshot()
}
