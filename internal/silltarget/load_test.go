package silltarget

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The simulated targets and callers.
const (
	loadTargets     = 4
	loadSlots       = 6
	loadQueueLimit  = 24
	loadServiceTime = 250 * time.Millisecond
	loadObjective   = 900 * time.Millisecond
	// loadMaxResponseTime leaves a fifth of the objective for requests that take
	// longer than the mean.
	loadMaxResponseTime = loadObjective * 8 / 10
	loadDuration        = time.Minute
)

// event is a scheduled event of a simulation.
type event struct {
	at  time.Time
	run func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation simulates targets that run up to loadSlots requests at once and queue
// further ones, behind a gateway that picks targets with a Directory.
type simulation struct {
	now             time.Time
	events          eventQueue
	random          *rand.Rand
	directory       *Directory
	maxResponseTime time.Duration
	running         map[sillid.TargetID]int
	queues          map[sillid.TargetID][]func()

	inTime, late, refused int
}

func newSimulation(maxResponseTime time.Duration) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), directory: NewDirectory(), maxResponseTime: maxResponseTime,
		running: make(map[sillid.TargetID]int), queues: make(map[sillid.TargetID][]func()),
	}
	for i := range loadTargets {
		s.directory.Apply(Entry{ID: sillid.TargetID(rune('a' + i)), Pool: "p", State: Ready, Slots: loadSlots, StartedAt: s.now})
	}
	return s
}

func (s *simulation) after(wait time.Duration, run func()) {
	heap.Push(&s.events, event{at: s.now.Add(wait), run: run})
}

// play simulates Poisson arrivals at a rate of share times the targets' capacity
// for loadDuration.
func (s *simulation) play(share float64) {
	rate := share * loadTargets * loadSlots / loadServiceTime.Seconds()
	end := s.now.Add(loadDuration)
	for s.now.Before(end) {
		s.arrive(false)
		next := s.now.Add(time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)))
		for len(s.events) > 0 && !s.events[0].at.After(next) {
			e := heap.Pop(&s.events).(event)
			s.now = e.at
			e.run()
		}
		s.now = next
	}
}

// arrive simulates the arrival of one caller. A refused caller tries again once.
func (s *simulation) arrive(isRetry bool) {
	sentAt := s.now
	g, ok := s.directory.Pick(s.now, Query{Pool: "p", FreeOnly: true})
	if !ok {
		g, ok = s.directory.Pick(s.now, Query{Pool: "p", MaxResponseTime: s.maxResponseTime})
	}
	if ok && len(s.queues[g.ID]) >= loadQueueLimit {
		s.directory.Release(s.now, g, Rejected)
		ok = false
	}
	switch {
	case ok:
		s.queues[g.ID] = append(s.queues[g.ID], func() { s.execute(g, sentAt) })
		s.serve(g.ID)
	case isRetry:
		s.refused++
	default:
		s.after(loadObjective, func() { s.arrive(true) })
	}
}

func (s *simulation) serve(id sillid.TargetID) {
	for s.running[id] < loadSlots && len(s.queues[id]) > 0 {
		run := s.queues[id][0]
		s.queues[id] = s.queues[id][1:]
		s.running[id]++
		run()
	}
}

func (s *simulation) execute(g Grant, sentAt time.Time) {
	s.after(time.Duration(float64(loadServiceTime)*(0.5+s.random.Float64())), func() {
		took := s.now.Sub(sentAt)
		if took <= loadObjective {
			s.inTime++
		} else {
			s.late++
		}
		s.running[g.ID]--
		load := &Load{Running: s.running[g.ID] + 1, Waiting: len(s.queues[g.ID]), Slots: loadSlots}
		s.directory.Observe(s.now, g, load, took)
		s.directory.Release(s.now, g, Answered)
		s.serve(g.ID)
	})
}

// TestOverload simulates a load of 130 % of the targets' capacity. Without
// MaxResponseTime nearly all responses are late. With it nearly all responses are
// in time, and the number of served requests is no lower.
func TestOverload(t *testing.T) {
	unbounded, bounded := newSimulation(0), newSimulation(loadMaxResponseTime)
	unbounded.play(1.3)
	bounded.play(1.3)
	t.Logf("in time, late, refused: unbounded %d %d %d, bounded %d %d %d",
		unbounded.inTime, unbounded.late, unbounded.refused, bounded.inTime, bounded.late, bounded.refused)
	if bounded.inTime < 2*unbounded.inTime {
		t.Errorf("%d in time, want at least twice the %d without a bound", bounded.inTime, unbounded.inTime)
	}
	if bounded.late*10 > bounded.inTime {
		t.Errorf("%d late and %d in time, want at most a tenth", bounded.late, bounded.inTime)
	}
	if served, most := bounded.inTime+bounded.late, unbounded.inTime+unbounded.late; served*100 < most*97 {
		t.Errorf("%d served, want no fewer than the %d without a bound", served, most)
	}
}

// TestNoOverload simulates loads below the targets' capacity: no request may be
// refused.
func TestNoOverload(t *testing.T) {
	for _, share := range []float64{0.3, 0.7, 0.9} {
		s := newSimulation(loadMaxResponseTime)
		s.play(share)
		if s.refused > 0 || s.late*100 > s.inTime {
			t.Errorf("load %v: %d in time, %d late, %d refused", share, s.inTime, s.late, s.refused)
		}
	}
}
