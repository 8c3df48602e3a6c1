package sillforwarder

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillschedule"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// How the wait of a request for a target ends, in logs and metrics.
const (
	// waitServed requests got a target.
	waitServed = "served"
	// waitExpired requests got none within the share of their objective for the wait.
	waitExpired = "expired"
	// waitDisplaced requests left a full queue for one that comes before them.
	waitDisplaced = "displaced"
	// waitRefused requests can't be served: all targets leave, or their limits allow none of
	// them the request in time.
	waitRefused = "refused"
	// waitCancelled requests were cancelled by their callers.
	waitCancelled = "cancelled"
)

// queues holds the requests that wait for targets, by pool.
type queues struct {
	mu     sync.Mutex
	byPool map[sillid.PoolID]*sillschedule.Queue
}

func newQueues() *queues { return &queues{byPool: make(map[sillid.PoolID]*sillschedule.Queue)} }

// of returns the queue of a pool.
func (q *queues) of(pool sillid.PoolID) *sillschedule.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byPool[pool] == nil {
		q.byPool[pool] = &sillschedule.Queue{}
	}
	return q.byPool[pool]
}

// wait is the wait of one request for a target.
type wait struct {
	*picker
	queue  *sillschedule.Queue
	waiter *sillschedule.Waiter
	// joined is whether the request is in the queue, or left it with a target that is not
	// taken yet.
	joined bool
	// waited is whether a change of the targets was awaited.
	waited  bool
	started time.Time
	// grant is the target that Try took. The queue's lock guards it while the request waits.
	grant silltarget.Grant
}

func newWait(p *picker) *wait {
	w := &wait{picker: p, queue: p.queues.of(p.request.Pool), started: time.Now()}
	w.waiter = &sillschedule.Waiter{
		Class: p.request.scheduleClass(), Priority: p.request.Priority,
		Due: p.request.due(), Arrived: p.request.Arrived, Try: w.try,
	}
	return w
}

// scheduleClass returns the class of the request in the queue.
func (r *Request) scheduleClass() sillschedule.Class {
	switch {
	case r.Owed:
		return sillschedule.Score
	case r.Route.Kind == sillcatalog.Stream:
		return sillschedule.Stream
	}
	return sillschedule.Interactive
}

// due returns when the response is due.
func (r *Request) due() time.Time {
	if objective := r.Route.LatencyObjective; objective > 0 && r.Arrived.Add(objective).Before(r.Deadline) {
		return r.Arrived.Add(objective)
	}
	return r.Deadline
}

// try takes a target with a free slot, or one that is expected to respond in time.
func (w *wait) try() bool {
	now := time.Now()
	g, ok := w.cfg.Directory.Pick(now, freeOnly(w.query))
	if !ok {
		g, ok = w.cfg.Directory.Pick(now, w.query)
	}
	w.grant = g
	return ok
}

// take returns the target that the request has got, after all requests of the queue tried
// since the change.
func (w *wait) take(changed <-chan struct{}) (silltarget.Grant, bool) {
	w.queue.SetByUrgency(w.has(silltarget.QueueByPriority))
	w.queue.Serve(changed)
	if !w.joined {
		w.queue.Join(w.waiter)
		w.joined = true
	}
	gotTarget, _ := w.queue.State(w.waiter)
	if !gotTarget {
		return silltarget.Grant{}, false
	}
	w.joined = false
	return w.grant, true
}

func (w *wait) displaced() bool {
	_, displaced := w.queue.State(w.waiter)
	return displaced
}

// await waits until a target may be free for the request, or for a time. It returns false if
// ctx ends before.
func (w *wait) await(ctx context.Context, changed <-chan struct{}, end time.Time) bool {
	w.waited = true
	timer := time.NewTimer(time.Until(end))
	defer timer.Stop()
	select {
	case <-w.waiter.Done():
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// stop ends the wait. It returns the target that the request got at the last moment, if any.
func (w *wait) stop(ctx context.Context, outcome string) (silltarget.Grant, bool) {
	if gotTarget, _ := w.queue.Leave(w.waiter); !gotTarget {
		return w.finish(silltarget.Grant{}, outcome)
	}
	if ctx.Err() != nil {
		w.cfg.Directory.Release(time.Now(), w.grant, silltarget.Abandoned)
		return w.finish(silltarget.Grant{}, waitCancelled)
	}
	g, ok := w.permit(ctx, w.grant)
	if !ok {
		return w.finish(silltarget.Grant{}, outcome)
	}
	return w.finish(g, waitServed)
}

// finish counts and logs a wait that has ended, and returns its target.
func (w *wait) finish(g silltarget.Grant, outcome string) (silltarget.Grant, bool) {
	if !w.waited && outcome != waitDisplaced {
		return g, outcome == waitServed
	}
	w.cfg.Metrics.countWait(w.waiter.Class, outcome)
	now := time.Now()
	w.cfg.Log.Info("Request waited for a target.", w.request.field(), zap.String("outcome", outcome),
		zap.Stringer("class", w.waiter.Class), zap.Int("priority", int(w.waiter.Priority)), zap.String("pool", string(w.request.Pool)),
		zap.String("organisation", string(w.request.Organisation)), zap.Int("waiting", w.queue.Len()),
		zap.Duration("waited", now.Sub(w.started)), zap.Duration("left", w.waiter.Due.Sub(now)))
	return g, outcome == waitServed
}

func (m *Metrics) countWait(c sillschedule.Class, outcome string) {
	m.waits.WithLabelValues(c.String(), outcome).Inc()
}
