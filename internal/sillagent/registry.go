package sillagent

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// keepEnded is how long the response of an ended run can be read again.
	keepEnded = 30 * time.Second
	// keepEndedBytes bounds the responses of ended runs.
	keepEndedBytes = 8 << 20
	// keepMarks is how long the agent remembers that a request has started, or that
	// it reported an attempt as unknown. It is longer than any frame can be delayed.
	keepMarks = 10 * time.Minute
	// maxMarks bounds the number of marks.
	maxMarks = 200_000
)

// runKey identifies one attempt of a request.
type runKey struct {
	request sillid.RequestID
	attempt sillid.AttemptID
}

// run is one attempt of a request at this agent.
type run struct {
	key    runKey
	req    *sillwire.Run
	body   []byte
	answer *answer
	// deadline is when the caller stops waiting.
	deadline time.Time
	cancel   context.CancelCauseFunc

	// The registry's mutex guards the fields below.
	state   sillwire.RunState
	readers int
	// detachedAt is when the last reader disconnected; zero while one reads.
	detachedAt time.Time
	startedAt  time.Time
	endedAt    time.Time
	// settle completes a response that was held back; nil if none was.
	settle func()
}

// mark is a fact that outlives a run.
type mark struct {
	key  runKey
	at   time.Time
	kind markKind
}

type markKind int

const (
	// markStarted means that the target received some attempt of the request.
	markStarted markKind = iota
	// markDenied means that a gateway was told that the attempt is unknown.
	markDenied
)

// registry holds the runs of this agent. It keeps requests that are not idempotent from
// running twice, and attempts that were reported as not run from running later.
type registry struct {
	now func() time.Time

	mu      sync.Mutex
	runs    map[runKey]*run
	started map[sillid.RequestID]time.Time
	denied  map[runKey]time.Time
	marks   *list.List
	ended   *list.List
	// endedBytes is the size of the responses of ended runs.
	endedBytes int
}

func newRegistry(now func() time.Time) *registry {
	return &registry{
		now:     now,
		runs:    make(map[runKey]*run),
		started: make(map[sillid.RequestID]time.Time),
		denied:  make(map[runKey]time.Time),
		marks:   list.New(),
		ended:   list.New(),
	}
}

// add adds a run, or returns why it must not run.
func (r *registry) add(n *run, draining func() bool) *sillproblem.Problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Checked under the lock, so that no run is added after open has returned the
	// number of runs of a draining target.
	if draining() {
		return sillproblem.New(sillproblem.Draining, "the target is being drained")
	}
	r.expire()
	if _, ok := r.denied[n.key]; ok {
		return sillproblem.New(sillproblem.ConnectionSilent, "the attempt arrived after its gateway had given it up")
	}
	if _, ok := r.runs[n.key]; ok {
		return sillproblem.New(sillproblem.Duplicate, "the attempt is here already").WithOutcome(sillproblem.OutcomeUnknown)
	}
	if _, ok := r.started[n.key.request]; ok && !n.req.Idempotent {
		return sillproblem.New(sillproblem.Duplicate, "the request has started here before").WithOutcome(sillproblem.OutcomeUnknown)
	}
	n.state = sillwire.RunQueued
	n.readers = 1
	r.runs[n.key] = n
	return nil
}

// start records that the request is about to be sent to the target.
func (r *registry) start(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.state = sillwire.RunStarted
	n.startedAt = r.now()
	r.started[n.key.request] = r.now()
	r.marks.PushBack(mark{key: n.key, at: r.now(), kind: markStarted})
}

// end records that the response is complete. The response is kept for a while.
func (r *registry) end(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.state = sillwire.RunEnded
	n.endedAt = r.now()
	n.body = nil
	r.ended.PushBack(n)
	r.endedBytes += n.answer.bytes()
	r.expire()
}

// hold defers settle if no gateway reads the response, or none is known to be alive. It
// returns false if the response must be settled now.
func (r *registry) hold(n *run, alive bool, settle func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n.readers > 0 && alive {
		return false
	}
	n.settle = settle
	return true
}

// settleRead settles the held responses that gateways read.
func (r *registry) settleRead() {
	r.mu.Lock()
	var due []func()
	for _, n := range r.runs {
		if n.settle != nil && n.readers > 0 {
			due = append(due, n.settle)
			n.settle = nil
		}
	}
	r.mu.Unlock()
	for _, settle := range due {
		settle()
	}
}

// attach returns the run for one more reader. An attempt that this agent has not
// received is recorded as denied, so that it does not run if it arrives later.
func (r *registry) attach(key runKey) (*run, bool) {
	n, settle := r.attachRun(key)
	if settle != nil {
		settle()
	}
	return n, n != nil
}

// attachRun returns the run, or nil, and its deferred settle function.
func (r *registry) attachRun(key runKey) (*run, func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	n, ok := r.runs[key]
	if ok {
		n.readers++
		n.detachedAt = time.Time{}
		settle := n.settle
		n.settle = nil
		return n, settle
	}
	r.denied[key] = r.now()
	r.marks.PushBack(mark{key: key, at: r.now(), kind: markDenied})
	return nil, nil
}

// hasStarted returns whether the target has received any attempt of the request.
func (r *registry) hasStarted(id sillid.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.started[id]
	return ok
}

// detach records that a reader has disconnected.
func (r *registry) detach(n *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.readers--
	if n.readers == 0 {
		n.detachedAt = r.now()
	}
}

// lookup returns what is known of a request.
func (r *registry) lookup(id sillid.RequestID) (sillwire.RunState, sillid.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, n := range r.runs {
		if key.request == id {
			return n.state, key.attempt
		}
	}
	if _, ok := r.started[id]; ok {
		return sillwire.RunEnded, ""
	}
	return sillwire.RunUnknown, ""
}

// abandoned returns the runs that may be cancelled and whose last reader disconnected
// before the given time.
func (r *registry) abandoned(before time.Time) []*run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []*run
	for _, n := range r.runs {
		if n.state == sillwire.RunEnded || n.detachedAt.IsZero() || n.detachedAt.After(before) {
			continue
		}
		// A request that is not idempotent runs to its end once it has started.
		if n.state == sillwire.RunQueued || n.req.Idempotent {
			gone = append(gone, n)
		}
	}
	return gone
}

// counts returns the numbers of queued and of started runs.
func (r *registry) counts() (queued, started int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.runs {
		switch n.state {
		case sillwire.RunQueued:
			queued++
		case sillwire.RunStarted:
			started++
		}
	}
	return queued, started
}

// running returns the requests that the target runs now and that may crash it.
func (r *registry) running() []sillcrash.RunningRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []sillcrash.RunningRequest
	for _, n := range r.runs {
		if n.state == sillwire.RunStarted && !n.req.Class.Owed() {
			all = append(all, sillcrash.RunningRequest{Fingerprint: n.req.Fingerprint, Started: n.startedAt})
		}
	}
	return all
}

// open returns the number of runs that have not ended, or whose response a gateway
// still reads.
func (r *registry) open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, n := range r.runs {
		if n.state != sillwire.RunEnded || n.readers > 0 {
			count++
		}
	}
	return count
}

// expire removes runs and marks that need not be kept. The caller holds the mutex.
func (r *registry) expire() {
	now := r.now()
	for e := r.ended.Front(); e != nil; e = r.ended.Front() {
		n := e.Value.(*run)
		if now.Sub(n.endedAt) < keepEnded && r.endedBytes <= keepEndedBytes {
			break
		}
		r.ended.Remove(e)
		r.endedBytes -= n.answer.bytes()
		delete(r.runs, n.key)
	}
	for e := r.marks.Front(); e != nil; e = r.marks.Front() {
		m := e.Value.(mark)
		if now.Sub(m.at) < keepMarks && r.marks.Len() <= maxMarks {
			break
		}
		r.marks.Remove(e)
		r.forget(m)
	}
}

func (r *registry) forget(m mark) {
	if m.kind == markDenied {
		delete(r.denied, m.key)
		return
	}
	// A later start of the same request has a mark of its own.
	if !r.started[m.key.request].After(m.at) {
		delete(r.started, m.key.request)
	}
}
