package sillschedule

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pool is a number of free targets that each request may use.
type pool struct{ free int }

func (p *pool) take() bool {
	if p.free == 0 {
		return false
	}
	p.free--
	return true
}

func drawWaiter(t *rapid.T, p *pool) *Waiter {
	arrived := start.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "arrived")) * time.Millisecond)
	return &Waiter{
		Class: Class(rapid.IntRange(0, 2).Draw(t, "class")), Priority: Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Arrived: arrived, Due: arrived.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "due")) * time.Millisecond), Try: p.take,
	}
}

// serve lets the requests of a queue try at a new change.
func serve(q *Queue) { q.Serve(make(chan struct{})) }

// TestQueue checks a queue in any sequence of arrivals and free targets: it is bounded, no
// request waits beside a free target, no request is displaced by one that comes after it, and
// the request that waits for the longest time is served after eight grants at most.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, q := &pool{}, &Queue{Limit: 16}
		q.SetByUrgency(true)
		var all []*Waiter
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "arrival") {
				w := drawWaiter(t, p)
				q.Join(w)
				all = append(all, w)
			} else {
				p.free += rapid.IntRange(1, 3).Draw(t, "free")
				serve(q)
			}
			if q.Len() > q.Limit {
				t.Fatalf("%d requests wait, at most %d may", q.Len(), q.Limit)
			}
			if q.Len() > 0 && p.free > 0 {
				t.Fatal("a request waits beside a free target")
			}
		}
		for _, w := range all {
			if got, displaced := q.State(w); got && displaced {
				t.Fatal("a displaced request has got a target")
			}
		}
		// More urgent requests arrive all the time.
		oldest := q.oldest()
		for range 2 * int(1/guaranteedShare) {
			if oldest == nil || oldest.state == served {
				return
			}
			q.Limit = 1000
			q.Join(&Waiter{Priority: -1, Try: p.take})
			p.free = 1
			serve(q)
		}
		if oldest.state != served {
			t.Fatal("the request that waits for the longest time is not served")
		}
	})
}

func (q *Queue) oldest() *Waiter {
	var oldest *Waiter
	for _, w := range q.waiting {
		if oldest == nil || w.sequence < oldest.sequence {
			oldest = w
		}
	}
	return oldest
}

// TestOrderOfArrival checks a queue without an order by urgency in any sequence of arrivals and
// free targets, and guards against one that has the order or the bound of the other kind.
func TestOrderOfArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, q := &pool{}, &Queue{Limit: 4}
		var all []*Waiter
		for range rapid.IntRange(1, 40).Draw(t, "arrivals") {
			w := drawWaiter(t, p)
			q.Join(w)
			all = append(all, w)
		}
		slices.SortStableFunc(all, func(a, b *Waiter) int { return a.Arrived.Compare(b.Arrived) })
		for served := range all {
			if q.Len() != len(all)-served {
				t.Fatalf("%d requests wait, want %d", q.Len(), len(all)-served)
			}
			p.free = 1
			serve(q)
			for i, w := range all {
				if got, displaced := q.State(w); got != (i <= served) || displaced {
					t.Fatalf("after %d grants, request %d has got a target: %t, displaced: %t", served+1, i, got, displaced)
				}
			}
		}
	})
}

// TestOrderChangesWhileRequestsWait guards against requests that keep an old order, or are lost,
// when a configuration with other priorities comes into force.
func TestOrderChangesWhileRequestsWait(t *testing.T) {
	p, q := &pool{}, &Queue{}
	waiters := make([]*Waiter, 4)
	for i := range waiters {
		waiters[i] = &Waiter{Priority: Priority(len(waiters) - i), Arrived: start.Add(time.Duration(i) * time.Millisecond), Try: p.take}
		q.Join(waiters[i])
	}
	for step, want := range []int{0, 3, 1, 2} {
		q.SetByUrgency(step%2 == 1)
		p.free = 1
		serve(q)
		if got, _ := q.State(waiters[want]); !got || q.Len() != len(waiters)-step-1 {
			t.Errorf("step %d: request %d has got a target: %t, %d wait", step, want, got, q.Len())
		}
	}
}

// TestUrgentRequestsAreServedNoLessOften guards against a kind of request that is served less
// often than a less urgent one of the same service.
func TestUrgentRequestsAreServedNoLessOften(t *testing.T) {
	p, q := &pool{}, &Queue{Limit: 40}
	q.SetByUrgency(true)
	servedOf := make(map[Priority]int)
	var all []*Waiter
	for i := range 4000 {
		at := start.Add(time.Duration(i) * time.Millisecond)
		w := &Waiter{Priority: Priority(i % 3), Arrived: at, Due: at.Add(time.Second), Try: p.take}
		q.Join(w)
		all = append(all, w)
		if i%2 == 0 {
			p.free = 1
			serve(q)
		}
	}
	for _, w := range all {
		if got, _ := q.State(w); got {
			servedOf[w.Priority]++
		}
	}
	t.Logf("served by priority: %v of 1334 each", servedOf)
	if servedOf[0] < servedOf[1] || servedOf[1] < servedOf[2] {
		t.Errorf("served by priority: %v", servedOf)
	}
}

// TestDisplacedIsLast guards against a full queue that turns the most urgent request away.
func TestDisplacedIsLast(t *testing.T) {
	p, q := &pool{}, &Queue{Limit: 2}
	q.SetByUrgency(true)
	first, second, third := &Waiter{Priority: 1, Try: p.take}, &Waiter{Priority: 2, Try: p.take}, &Waiter{Priority: 0, Try: p.take}
	for _, w := range []*Waiter{first, second, third} {
		q.Join(w)
	}
	select {
	case <-second.Done():
	default:
		t.Fatal("no request was displaced")
	}
	if got, displaced := q.State(second); got || !displaced {
		t.Errorf("the last request: got a target %t, displaced %t", got, displaced)
	}
}
