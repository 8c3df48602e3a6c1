package sillgateway

import (
	"context"
	"sync"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// activeRequests are the requests that run for each key. Requests of a key that
// is withdrawn are ended, streams too.
type activeRequests struct {
	mu   sync.Mutex
	keys map[sillbundle.KeyHash]map[*activeRequest]struct{}
}

type activeRequest struct {
	hash   sillbundle.KeyHash
	cancel context.CancelCauseFunc
}

func newActiveRequests() *activeRequests {
	return &activeRequests{keys: make(map[sillbundle.KeyHash]map[*activeRequest]struct{})}
}

// enter registers a request. It returns a context that ends when the key is withdrawn, and
// the function that removes the request.
func (a *activeRequests) enter(ctx context.Context, hash sillbundle.KeyHash) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &activeRequest{hash: hash, cancel: cancel}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keys[hash] == nil {
		a.keys[hash] = make(map[*activeRequest]struct{})
	}
	a.keys[hash][r] = struct{}{}
	return ctx, func() { a.leave(r) }
}

func (a *activeRequests) leave(r *activeRequest) {
	r.cancel(nil)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.keys[r.hash], r)
	if len(a.keys[r.hash]) == 0 {
		delete(a.keys, r.hash)
	}
}

// endWithdrawn ends the requests of every key that valid does not accept, and
// returns how many there were.
func (a *activeRequests) endWithdrawn(valid func(sillbundle.KeyHash) bool) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	ended := 0
	for hash, requests := range a.keys {
		if valid(hash) {
			continue
		}
		for r := range requests {
			r.cancel(withdrawn())
			ended++
		}
	}
	return ended
}

func withdrawn() *sillproblem.Problem {
	return sillproblem.New(sillproblem.KeyWithdrawn, "the key was withdrawn while the request ran").WithOutcome(sillproblem.OutcomeUnknown)
}
