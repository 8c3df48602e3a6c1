package silllimit

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillproperty"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestMain(m *testing.M) {
	os.Exit(sillproperty.Run(m, sillproperty.Config{}))
}

// model is a queue with the state that the test expects of it.
type model struct {
	queue   *Queue
	now     time.Time
	next    int
	weights map[sillid.OrganisationID]int
	// waiting counts entries by organisation.
	waiting map[sillid.OrganisationID]int
	running []Entry
}

func newModel(t *rapid.T) *model {
	m := &model{now: epoch, weights: make(map[sillid.OrganisationID]int), waiting: make(map[sillid.OrganisationID]int)}
	m.queue = newTestQueue(
		rapid.IntRange(1, 4).Draw(t, "slots"),
		rapid.IntRange(1, 12).Draw(t, "places"),
		rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "floor"),
	)
	for i := range 4 {
		m.weights[sillid.OrganisationID(fmt.Sprint("o", i))] = rapid.IntRange(1, 5).Draw(t, "weight")
	}
	return m
}

func (m *model) entry(t *rapid.T) Entry {
	m.next++
	e := entry(m.next, fmt.Sprint("o", rapid.IntRange(0, 3).Draw(t, "organisation")), Class(rapid.IntRange(0, 1).Draw(t, "class")))
	e.Weight = m.weights[e.Organisation]
	if e.Class == Rollout {
		e.Trainer = sillid.TrainerID(fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "trainer")))
	}
	return e
}

// submit checks that the refused entry's organisation was above its share.
func (m *model) submit(t *rapid.T) {
	e := m.entry(t)
	m.waiting[e.Organisation]++
	refused := m.queue.Submit(m.now, e)
	sum, total := 0, 0
	for id, n := range m.waiting {
		if n > 0 {
			sum += m.weights[id]
			total += n
		}
	}
	for _, r := range refused {
		id := r.Entry.Organisation
		share := float64(m.queue.cfg.MaxWaiting*m.weights[id]) / float64(sum)
		if float64(m.waiting[id]) <= share {
			t.Fatalf("%s refused with %d waiting, within its share of %.2f", id, m.waiting[id], share)
		}
		if r.Problem.RetryAfter <= 0 {
			t.Fatal("refused without Retry-After")
		}
		m.waiting[id]--
		total--
	}
	if total > m.queue.cfg.MaxWaiting {
		t.Fatalf("%d entries wait, more than %d", total, m.queue.cfg.MaxWaiting)
	}
}

// start checks that no slot stays free while an entry may run.
func (m *model) start(t *rapid.T) {
	for {
		e, _, ok := m.queue.Next(m.now)
		if !ok {
			break
		}
		m.waiting[e.Organisation]--
		m.running = append(m.running, e)
	}
	s := m.queue.Snapshot()
	if s.Running != len(m.running) || s.Running > s.Limit {
		t.Fatalf("%d run of %d, limit %d", s.Running, len(m.running), s.Limit)
	}
	reserved := m.queue.classes[Rollout].running >= m.queue.rolloutSlots(m.now)
	if s.Running < s.Limit && (s.Waiting[Interactive] > 0 || s.Waiting[Rollout] > 0 && !reserved) {
		t.Fatalf("%d run below the limit of %d while %v wait", s.Running, s.Limit, s.Waiting)
	}
}

func (m *model) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "which")
	service := time.Duration(rapid.IntRange(1, 3000).Draw(t, "service")) * time.Millisecond
	m.queue.Done(m.running[i].ID, Result{ServiceTime: service, Latency: service})
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.now = m.now.Add(service)
}

// The queue is work conserving, refuses no organisation within its share, and
// runs every entry that it accepted.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				m.finish(t)
			} else {
				m.submit(t)
			}
			m.start(t)
		}
		for range 100 {
			m.finish(t)
			m.start(t)
		}
		if s := m.queue.Snapshot(); s.Waiting != [numClasses]int{} || s.Running != 0 {
			t.Fatalf("%v wait and %d run after the arrivals ended", s.Waiting, s.Running)
		}
	})
}

// Between organisations that always have waiting entries, the difference in
// service time divided by weight is at most one entry of each.
func TestQueueFairnessBound(t *testing.T) {
	const longest = 5.0
	rapid.Check(t, func(t *rapid.T) {
		q := newTestQueue(1, 1000, 0)
		weights := []int{rapid.IntRange(1, 8).Draw(t, "weight"), rapid.IntRange(1, 8).Draw(t, "weight"), 1}
		id := 0
		add := func(o int) {
			id++
			e := entry(id, fmt.Sprint(o), Interactive)
			e.Weight = weights[o]
			q.Submit(epoch, e)
		}
		for o := range weights {
			add(o)
			add(o)
		}
		served := make([]float64, len(weights))
		for range 100 {
			e, _, _ := q.Next(epoch)
			o := int(e.Organisation[0] - '0')
			service := rapid.Float64Range(0.1, longest).Draw(t, "service")
			q.Done(e.ID, Result{ServiceTime: time.Duration(service * float64(time.Second))})
			served[o] += service / float64(weights[o])
			add(o)
			for p := range weights {
				bound := longest/float64(weights[o]) + longest/float64(weights[p])
				if math.Abs(served[o]-served[p]) > bound+1e-6 {
					t.Fatalf("service over weight %v, weights %v, bound %.2f", served, weights, bound)
				}
			}
		}
	})
}

// feed records latency samples on a saturated limit. The latency depends on the
// current value of the limit.
func feed(l *adaptiveLimit, latency func(n int) float64) {
	for range 50000 {
		l.saturated = true
		l.observeLatency(latency(l.value()))
	}
}

func TestLimitAdapts(t *testing.T) {
	// The target's latency is 10 ms up to 4 running, and grows in proportion above.
	queueing := func(n int) float64 { return 0.010 * max(1, float64(n)/4) }
	constant := func(int) float64 { return 0.010 }
	slower := func(int) float64 { return 0.050 }
	check := func(t *testing.T, l *adaptiveLimit, lowest, highest int) {
		t.Helper()
		if got := int(l.current); got < lowest || got > highest {
			t.Errorf("limit = %d, want %d to %d", got, lowest, highest)
		}
	}
	l := newAdaptiveLimit(40, 0)
	feed(&l, constant)
	check(t, &l, 40, 40)
	feed(&l, queueing)
	check(t, &l, 4, 10)
	feed(&l, constant)
	check(t, &l, 40, 40)
	// Requests that take longer without any queue leave the limit as it is.
	feed(&l, slower)
	check(t, &l, 40, 40)
	fresh := newAdaptiveLimit(40, 0)
	feed(&fresh, queueing)
	check(t, &fresh, 4, 10)
}

// A refused request is accepted when it is sent again after its Retry-After time.
func TestRetryAfterIsSufficient(t *testing.T) {
	q := newTestQueue(1, 100, 0)
	for i := range 10 {
		submit(t, q, entry(i, "a", Interactive))
		submit(t, q, entry(100+i, "b", Interactive))
	}
	late := entry(999, "a", Interactive)
	late.Deadline = epoch.Add(8 * time.Second)
	refused := q.Submit(epoch, late)
	if len(refused) != 1 {
		t.Fatal("accepted a request that can't end in time")
	}
	wait := refused[0].Problem.RetryAfter
	for range int(wait / time.Second) {
		e, _, _ := q.Next(epoch)
		q.Done(e.ID, Result{ServiceTime: time.Second})
	}
	late.Deadline = late.Deadline.Add(wait)
	if refused := q.Submit(epoch.Add(wait), late); len(refused) > 0 {
		t.Errorf("refused again after %v: %v", wait, refused[0].Problem)
	}
}
