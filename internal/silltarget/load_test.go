package silltarget

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The load of these tests is one that the targets can't carry for a while.
const (
	loadTargets   = 4
	loadSlots     = 6
	loadQueue     = 24
	loadWork      = 250 * time.Millisecond
	loadObjective = 900 * time.Millisecond
	// loadWithin leaves a fifth of the objective for requests that take long.
	loadWithin = loadObjective * 8 / 10
	loadTime   = time.Minute
)

// moment is something that happens in a simulation.
type moment struct {
	at  time.Time
	run func()
}

type moments []moment

func (m moments) Len() int           { return len(m) }
func (m moments) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m moments) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *moments) Push(x any)        { *m = append(*m, x.(moment)) }
func (m *moments) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// desk simulates targets that work at some requests at once and queue the next.
type desk struct {
	now    time.Time
	ahead  moments
	random *rand.Rand
	// directory is what the gateway knows.
	directory *Directory
	within    time.Duration
	running   map[sillid.TargetID]int
	queues    map[sillid.TargetID][]func()

	inTime, late, refused int
}

func newDesk(within time.Duration) *desk {
	d := &desk{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2)), directory: NewDirectory(), within: within,
		running: make(map[sillid.TargetID]int), queues: make(map[sillid.TargetID][]func()),
	}
	for i := range loadTargets {
		d.directory.Apply(Entry{ID: sillid.TargetID(rune('a' + i)), Pool: "p", State: Ready, Slots: loadSlots, StartedAt: d.now})
	}
	return d
}

func (d *desk) after(wait time.Duration, run func()) {
	heap.Push(&d.ahead, moment{at: d.now.Add(wait), run: run})
}

// play has callers arrive at random, by a share of what the targets can carry.
func (d *desk) play(share float64) {
	rate := share * loadTargets * loadSlots / loadWork.Seconds()
	end := d.now.Add(loadTime)
	for d.now.Before(end) {
		d.arrive(false)
		next := d.now.Add(time.Duration(d.random.ExpFloat64() / rate * float64(time.Second)))
		for len(d.ahead) > 0 && !d.ahead[0].at.After(next) {
			m := heap.Pop(&d.ahead).(moment)
			d.now = m.at
			m.run()
		}
		d.now = next
	}
}

// arrive serves one caller; who is refused comes back once.
func (d *desk) arrive(again bool) {
	sentAt := d.now
	g, ok := d.directory.Pick(d.now, Query{Pool: "p", FreeOnly: true})
	if !ok {
		g, ok = d.directory.Pick(d.now, Query{Pool: "p", MaxResponseTime: d.within})
	}
	if ok && len(d.queues[g.ID]) >= loadQueue {
		d.directory.Release(d.now, g, Rejected)
		ok = false
	}
	switch {
	case ok:
		d.queues[g.ID] = append(d.queues[g.ID], func() { d.work(g, sentAt) })
		d.serve(g.ID)
	case again:
		d.refused++
	default:
		d.after(loadObjective, func() { d.arrive(true) })
	}
}

func (d *desk) serve(id sillid.TargetID) {
	for d.running[id] < loadSlots && len(d.queues[id]) > 0 {
		run := d.queues[id][0]
		d.queues[id] = d.queues[id][1:]
		d.running[id]++
		run()
	}
}

func (d *desk) work(g Grant, sentAt time.Time) {
	d.after(time.Duration(float64(loadWork)*(0.5+d.random.Float64())), func() {
		took := d.now.Sub(sentAt)
		if took <= loadObjective {
			d.inTime++
		} else {
			d.late++
		}
		d.running[g.ID]--
		told := &Load{Running: d.running[g.ID] + 1, Waiting: len(d.queues[g.ID]), Slots: loadSlots}
		d.directory.Observe(d.now, g, told, took)
		d.directory.Release(d.now, g, Answered)
		d.serve(g.ID)
	})
}

// TestOverload plays a load of 130 % of what the targets can carry. Without a
// bound nearly all callers are late; with one nearly all that are served are in
// time, and no fewer are served.
func TestOverload(t *testing.T) {
	free, bounded := newDesk(0), newDesk(loadWithin)
	free.play(1.3)
	bounded.play(1.3)
	t.Logf("in time, late, refused: free %d %d %d, bounded %d %d %d",
		free.inTime, free.late, free.refused, bounded.inTime, bounded.late, bounded.refused)
	if bounded.inTime < 2*free.inTime {
		t.Errorf("%d in time, want at least twice the %d without a bound", bounded.inTime, free.inTime)
	}
	if bounded.late*10 > bounded.inTime {
		t.Errorf("%d late and %d in time, want at most a tenth", bounded.late, bounded.inTime)
	}
	if served, most := bounded.inTime+bounded.late, free.inTime+free.late; served*100 < most*97 {
		t.Errorf("%d served, want no fewer than the %d without a bound", served, most)
	}
}

// TestNoOverload plays loads that the targets can carry: nobody is refused.
func TestNoOverload(t *testing.T) {
	for _, share := range []float64{0.3, 0.7, 0.9} {
		d := newDesk(loadWithin)
		d.play(share)
		if d.refused > 0 || d.late*100 > d.inTime {
			t.Errorf("load %v: %d in time, %d late, %d refused", share, d.inTime, d.late, d.refused)
		}
	}
}
