package sillweight

import (
	"container/heap"
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// costs are the times that the steps of a rollout take.
type costs struct {
	// spread is the longest time until an agent hears of a version.
	spread time.Duration
	store  time.Duration
	// peer is one copy from agent to agent, with FanOut copies at once.
	peer time.Duration
	load time.Duration
	// message is one status from agent to agent.
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

// network carries the commands of many Swappers in an order set by its seed.
type network struct {
	t      rapid.TB
	rng    *rand.Rand
	costs  costs
	now    time.Time
	events queue
	order  int
	ids    []sillid.TargetID
	nodes  map[sillid.TargetID]*Swapper
	dead   map[sillid.TargetID]bool
	out    map[sillid.TargetID]bool
	// groups are those of each version's plan.
	groups map[sillid.WeightVersion]map[sillid.TargetID]int
	// begun is the version with which a target went out of serving.
	begun map[sillid.TargetID]sillid.WeightVersion
	limit int
	// worst is the most targets that were out at once.
	worst   int
	stores  int
	waiting map[sillid.TargetID][]func()
}

var errTest = errors.New("test failure")

func newNetwork(t rapid.TB, seed int64, n int, floor float64, c costs) (*network, []Member) {
	w := &network{
		t: t, rng: rand.New(rand.NewSource(seed)), costs: c, now: time.UnixMilli(600_000_000),
		nodes: make(map[sillid.TargetID]*Swapper), dead: make(map[sillid.TargetID]bool),
		out: make(map[sillid.TargetID]bool), waiting: make(map[sillid.TargetID][]func()),
		groups: make(map[sillid.WeightVersion]map[sillid.TargetID]int),
		begun:  make(map[sillid.TargetID]sillid.WeightVersion),
		limit:  maxOut(n, floor),
	}
	return w, w.addMembers(nil, n)
}

// addMembers returns the live members and n fresh ones.
func (w *network) addMembers(members []Member, n int) []Member {
	var live []Member
	for _, m := range members {
		if !w.dead[m.Target] {
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

func (w *network) between(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int63n(int64(d) + 1))
}

// announce lets every agent hear of the plan within the spread.
func (w *network) announce(p Plan) {
	w.groups[p.Version] = make(map[sillid.TargetID]int)
	for _, m := range p.Members {
		w.groups[p.Version][m.Target] = m.Group
		w.after(w.between(w.costs.spread), func() { w.do(m.Target, w.nodes[m.Target].Adopt(w.now, p)) })
	}
}

// run works until the time has passed.
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
		if !w.dead[id] {
			w.do(id, w.nodes[id].Tick(w.now))
			w.tick(id)
		}
	})
}

func (w *network) kill(id sillid.TargetID) {
	w.dead[id] = true
	delete(w.out, id)
	for _, f := range w.waiting[id] {
		f()
	}
	delete(w.waiting, id)
	for _, other := range w.ids {
		w.tellGone(other, id)
	}
}

func (w *network) tellGone(other, id sillid.TargetID) {
	w.after(time.Second+w.between(time.Second), func() {
		if !w.dead[other] {
			w.do(other, w.nodes[other].HandleMemberEnded(w.now, id))
			w.tellGone(other, id)
		}
	})
}

// message delivers a status late, twice or never.
func (w *network) message(to sillid.TargetID, status Status) {
	for range 1 + w.rng.Intn(2) {
		if w.rng.Float64() < w.costs.loss {
			continue
		}
		w.after(w.between(2*w.costs.message), func() {
			if !w.dead[to] {
				w.do(to, w.nodes[to].HandleStatus(w.now, status))
			}
		})
	}
}

func (w *network) do(id sillid.TargetID, commands []Command) {
	if w.dead[id] {
		return
	}
	s := w.nodes[id]
	for _, c := range commands {
		switch c.Kind {
		case SendStatus:
			w.message(c.Peer, c.Status)
		case RequestStatus:
			w.after(w.between(2*w.costs.message), func() {
				if !w.dead[c.Peer] {
					w.message(id, w.nodes[c.Peer].Status())
				}
			})
		case FetchStore:
			w.stores++
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
		w.begun[id] = w.nodes[id].loading
		w.assertAlone(id)
	}
	w.out[id] = true
	w.worst = max(w.worst, len(w.out))
	if len(w.out) > w.limit {
		w.t.Fatalf("%d targets out of serving, at most %d may be", len(w.out), w.limit)
	}
}

// assertAlone wants no other load in the group. If the versions differ, the later
// one's plan tells the group.
func (w *network) assertAlone(id sillid.TargetID) {
	for other := range w.out {
		groups := w.groups[max(w.begun[id], w.begun[other])]
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
	for _, f := range w.waiting[id] {
		f()
	}
	delete(w.waiting, id)
}

// copyFrom waits until the peer has the version and then copies it.
func (w *network) copyFrom(id sillid.TargetID, c Command) {
	attempt := func() {
		if w.dead[c.Peer] {
			w.after(time.Second, func() { w.fetched(id, c.Version, errTest) })
			return
		}
		w.after(w.costs.peer, func() { w.fetched(id, c.Version, nil) })
	}
	peer := w.nodes[c.Peer]
	if w.dead[c.Peer] || (peer.plan.Version == c.Version && peer.fetched) {
		attempt()
		return
	}
	w.waiting[c.Peer] = append(w.waiting[c.Peer], attempt)
}
