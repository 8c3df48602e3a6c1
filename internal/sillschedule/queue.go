package sillschedule

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Waiter is a request that waits for a target.
type Waiter struct {
	Class    Class
	Priority Priority
	// Due is when the response is due; zero for no such time. Arrived is when the request
	// arrived.
	Due     time.Time
	Arrived time.Time
	// Try takes a target for the request and returns whether there was one. It is called with
	// the queue's lock held and must not block.
	Try func() bool

	sequence uint64
	done     chan struct{}
	state    waiterState
}

type waiterState int

const (
	queued waiterState = iota
	served
	displaced
)

// Done returns a channel that is closed once the request has got a target or is displaced.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// maxWaiting bounds the requests that wait for targets of a pool.
const maxWaiting = 1024

// Queue holds the requests that wait for targets of one pool. At each change of the targets it
// lets them try in order: that of arrival, or by urgency after SetByUrgency(true). It is safe
// for concurrent use.
type Queue struct {
	// Limit bounds the requests that wait in the order by urgency; 0 stands for maxWaiting.
	Limit int

	mu sync.Mutex
	// byUrgency is whether the requests are ordered by outrank.
	byUrgency bool
	waiting   []*Waiter
	sequence  uint64
	// seen is the change that the requests have tried at last.
	seen <-chan struct{}
	// inTurn counts the grants in the order since the last one to the request that waits
	// for the longest time.
	inTurn int
}

// outrank orders requests: those with a caller before score requests, then by priority, then the
// earliest due, then the first to arrive.
func outrank(a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(isScore(a), isScore(b)),
		cmp.Compare(a.Priority, b.Priority),
		compareLimits(a.Due, b.Due),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.sequence, b.sequence),
	)
}

// precede orders requests by their arrival.
func precede(a, b *Waiter) int {
	return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.sequence, b.sequence))
}

// compare compares two requests in the order of the queue.
func (q *Queue) compare(a, b *Waiter) int {
	if q.byUrgency {
		return outrank(a, b)
	}
	return precede(a, b)
}

// SetByUrgency chooses the order of the requests: by class, priority and due time, or that of their arrival.
func (q *Queue) SetByUrgency(on bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.byUrgency == on {
		return
	}
	q.byUrgency, q.inTurn = on, 0
	slices.SortFunc(q.waiting, q.compare)
}

func isScore(w *Waiter) int {
	if w.Class == Score {
		return 1
	}
	return 0
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Join adds a request. If a queue by urgency is full, the last one in the order is displaced,
// which may be the new one.
func (q *Queue) Join(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	w.sequence, w.done, w.state = q.sequence, make(chan struct{}), queued
	i, _ := slices.BinarySearchFunc(q.waiting, w, q.compare)
	q.waiting = slices.Insert(q.waiting, i, w)
	limit := q.Limit
	if limit == 0 {
		limit = maxWaiting
	}
	if q.byUrgency && len(q.waiting) > limit {
		q.end(len(q.waiting)-1, displaced)
		return
	}
	// The others have tried since the last change that was served.
	if w.Try() {
		if q.byUrgency {
			q.recordTurn(i)
		}
		q.end(i, served)
	}
}

// State returns whether a request that joined has got a target, and whether it was displaced.
func (q *Queue) State(w *Waiter) (gotTarget, wasDisplaced bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.state == served, w.state == displaced
}

// Leave removes a request that stops waiting. It returns whether the request has got a target,
// and whether it was displaced.
func (q *Queue) Leave(w *Waiter) (gotTarget, wasDisplaced bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiting, w); i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	return w.state == served, w.state == displaced
}

// Serve lets the requests try in order, once for each change of the targets; change is the
// channel that the change after it closes. In the order by urgency, each eighth grant goes to the
// request that waits for the longest time, so that no request waits forever behind others.
func (q *Queue) Serve(change <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.seen == change {
		return
	}
	q.seen = change
	if !q.byUrgency {
		q.serveInOrder()
		return
	}
	tried := make(map[*Waiter]bool, len(q.waiting))
	for {
		i := q.next(tried)
		if i < 0 {
			return
		}
		w := q.waiting[i]
		tried[w] = true
		if w.Try() {
			q.recordTurn(i)
			q.end(i, served)
		}
	}
}

// serveInOrder lets each request try once in the order of the queue.
func (q *Queue) serveInOrder() {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter) bool {
		if !w.Try() {
			return false
		}
		w.state = served
		close(w.done)
		return true
	})
}

// next returns the index of the request that tries next, or -1.
func (q *Queue) next(tried map[*Waiter]bool) int {
	next := -1
	for i, w := range q.waiting {
		if tried[w] {
			continue
		}
		if next < 0 {
			next = i
		}
		if float64(q.inTurn+1)*guaranteedShare < 1 {
			return next
		}
		if w.sequence < q.waiting[next].sequence {
			next = i
		}
	}
	return next
}

// recordTurn counts the grant of the request at an index.
func (q *Queue) recordTurn(i int) {
	for _, w := range q.waiting {
		if w.sequence < q.waiting[i].sequence {
			q.inTurn++
			return
		}
	}
	q.inTurn = 0
}

// end removes the request at an index with its state.
func (q *Queue) end(i int, s waiterState) {
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	w.state = s
	close(w.done)
}
