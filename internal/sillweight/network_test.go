package sillweight

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand"
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

// costs are the times that the steps of a rollout take.
type costs struct {
	// spread is the longest time from the publication of a plan to its arrival at an agent.
	spread time.Duration
	store  time.Duration
	// peer is the time of a copy between agents while FanOut copies run at once.
	peer time.Duration
	load time.Duration
	// message is the mean delay of a status between agents.
	message time.Duration
	// loss and failure are the shares of lost messages and failed loads.
	loss    float64
	failure float64
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q queue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// network simulates the agents of many Swappers and the messages between them. Its
// seed determines the order of events.
type network struct {
	t      rapid.TB
	rng    *rand.Rand
	costs  costs
	now    time.Time
	events queue
	order  int
	ids    []sillid.TargetID
	nodes  map[sillid.TargetID]*Swapper
	ended  map[sillid.TargetID]bool
	out    map[sillid.TargetID]bool
	// groups holds each target's group by the version of the plan.
	groups map[sillid.WeightVersion]map[sillid.TargetID]int
	// outVersion is the version for whose load a target went out of service.
	outVersion map[sillid.TargetID]sillid.WeightVersion
	outLimit   int
	// maxOut is the largest number of targets that were out of service at once.
	maxOut        int
	storeFetches  int
	pendingCopies map[sillid.TargetID][]func()
}

var errTest = errors.New("test failure")

func newNetwork(t rapid.TB, seed int64, n int, floor float64, c costs) (*network, []Member) {
	w := &network{
		t: t, rng: rand.New(rand.NewSource(seed)), costs: c, now: time.UnixMilli(600_000_000),
		nodes: make(map[sillid.TargetID]*Swapper), ended: make(map[sillid.TargetID]bool),
		out: make(map[sillid.TargetID]bool), pendingCopies: make(map[sillid.TargetID][]func()),
		groups:     make(map[sillid.WeightVersion]map[sillid.TargetID]int),
		outVersion: make(map[sillid.TargetID]sillid.WeightVersion),
		outLimit:   maxOutOfService(n, floor),
	}
	return w, w.addMembers(nil, n)
}

// addMembers returns the live members and n new ones.
func (w *network) addMembers(members []Member, n int) []Member {
	var live []Member
	for _, m := range members {
		if !w.ended[m.Target] {
			live = append(live, m)
		}
	}
	for range n {
		id := sillid.TargetID(fmt.Sprintf("t-%d", len(w.ids)))
		live = append(live, Member{Target: id})
		w.ids = append(w.ids, id)
		w.tick(id)
		w.nodes[id] = NewSwapper(Config{
			Target: id, Retries: 2, RetryDelay: 100 * time.Millisecond, StatusPollInterval: 200 * time.Millisecond,
		}, 0)
	}
	return live
}

func (w *network) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now.Add(d), order: w.order, run: run})
}

func (w *network) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int63n(int64(d) + 1))
}

// announce delivers the plan to each member's agent within costs.spread.
func (w *network) announce(p Plan) {
	w.groups[p.Version] = make(map[sillid.TargetID]int)
	for _, m := range p.Members {
		w.groups[p.Version][m.Target] = m.Group
		w.after(w.randomUpTo(w.costs.spread), func() { w.do(m.Target, w.nodes[m.Target].Adopt(w.now, p)) })
	}
}

// run handles the events of the next d and advances the clock by d.
func (w *network) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && w.events[0].at.Before(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *network) tick(id sillid.TargetID) {
	w.after(50*time.Millisecond, func() {
		if !w.ended[id] {
			w.do(id, w.nodes[id].Tick(w.now))
			w.tick(id)
		}
	})
}

func (w *network) kill(id sillid.TargetID) {
	w.ended[id] = true
	delete(w.out, id)
	for _, f := range w.pendingCopies[id] {
		f()
	}
	delete(w.pendingCopies, id)
	for _, other := range w.ids {
		w.reportEnded(other, id)
	}
}

func (w *network) reportEnded(other, id sillid.TargetID) {
	w.after(time.Second+w.randomUpTo(time.Second), func() {
		if !w.ended[other] {
			w.do(other, w.nodes[other].HandleMemberEnded(w.now, id))
			w.reportEnded(other, id)
		}
	})
}

// message delivers a status with a delay, once, twice or not at all.
func (w *network) message(to sillid.TargetID, status Status) {
	for range 1 + w.rng.Intn(2) {
		if w.rng.Float64() < w.costs.loss {
			continue
		}
		w.after(w.randomUpTo(2*w.costs.message), func() {
			if !w.ended[to] {
				w.do(to, w.nodes[to].HandleStatus(w.now, status))
			}
		})
	}
}

func (w *network) do(id sillid.TargetID, commands []Command) {
	if w.ended[id] {
		return
	}
	s := w.nodes[id]
	for _, c := range commands {
		switch c.Kind {
		case SendStatus:
			w.message(c.Peer, c.Status)
		case RequestStatus:
			w.after(w.randomUpTo(2*w.costs.message), func() {
				if !w.ended[c.Peer] {
					w.message(id, w.nodes[c.Peer].Status())
				}
			})
		case FetchStore:
			w.storeFetches++
			w.after(w.costs.store, func() { w.fetched(id, c.Version, nil) })
		case FetchPeer:
			w.copyFrom(id, c)
		case Swap:
			w.setOut(id)
			var err error
			if w.rng.Float64() < w.costs.failure {
				err = errTest
			}
			w.after(w.costs.load, func() { w.do(id, s.HandleLoadResult(w.now, c.Version, err)) })
		case Serve:
			delete(w.out, id)
		}
	}
}

func (w *network) setOut(id sillid.TargetID) {
	if !w.out[id] {
		w.outVersion[id] = w.nodes[id].loadingVersion
		w.assertOneLoadPerGroup(id)
	}
	w.out[id] = true
	w.maxOut = max(w.maxOut, len(w.out))
	if len(w.out) > w.outLimit {
		w.t.Fatalf("%d targets out of service, limit %d", len(w.out), w.outLimit)
	}
}

// assertOneLoadPerGroup fails the test if another member of the target's group loads.
// If the two loads are of different versions, the later version's plan gives the groups.
func (w *network) assertOneLoadPerGroup(id sillid.TargetID) {
	for other := range w.out {
		groups := w.groups[max(w.outVersion[id], w.outVersion[other])]
		a, isMember := groups[id]
		b, isOther := groups[other]
		if isMember && isOther && a == b && w.nodes[other].state == Swapping {
			w.t.Fatalf("targets %s and %s of one group load at once", other, id)
		}
	}
}

func (w *network) fetched(id sillid.TargetID, v sillid.WeightVersion, err error) {
	w.do(id, w.nodes[id].HandleFetchResult(w.now, v, err))
	if err != nil || w.nodes[id].plan.Version != v {
		return
	}
	for _, f := range w.pendingCopies[id] {
		f()
	}
	delete(w.pendingCopies, id)
}

// copyFrom copies the version from the peer once the peer has it.
func (w *network) copyFrom(id sillid.TargetID, c Command) {
	attempt := func() {
		if w.ended[c.Peer] {
			w.after(time.Second, func() { w.fetched(id, c.Version, errTest) })
			return
		}
		w.after(w.costs.peer, func() { w.fetched(id, c.Version, nil) })
	}
	peer := w.nodes[c.Peer]
	if w.ended[c.Peer] || (peer.plan.Version == c.Version && peer.fetched) {
		attempt()
		return
	}
	w.pendingCopies[c.Peer] = append(w.pendingCopies[c.Peer], attempt)
}
