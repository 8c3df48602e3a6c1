package silltarget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The simulated targets: three speeds side by side, and instances on which work takes 2.5 times
// as long for half a second now and then.
const (
	placementTick     = 2 * time.Millisecond
	placementGateways = 12
	slowdownFactor    = 2.5
	slowdownLength    = 500 * time.Millisecond
	slowdownEvery     = 4 * time.Second
	// placementEvents is the number of events of a generation.
	placementEvents = 17
	// longShare is the least work of a long request as a multiple of the mean.
	longShare = 1.4
)

var placementSpeeds = []float64{0.6, 1, 1.6}

// workload is a kind of load on a pool.
type workload struct {
	targets, slots int
	// workTime is the mean time of a request alone at a target of speed 1.
	workTime time.Duration
	// batching is how much longer each request takes for each other one that runs beside it.
	batching float64
	// share is the load as a share of the capacity.
	share     float64
	objective time.Duration
	length    time.Duration
	equal     bool
	// estimated is whether gateways know how long a request takes, within a fifth.
	estimated bool
}

var (
	scorerLoad = workload{targets: 14, slots: 6, workTime: 80 * time.Millisecond, objective: 200 * time.Millisecond, length: 20 * time.Second}
	// lightEngineLoad has engines whose requests hardly slow each other down.
	lightEngineLoad = workload{targets: 41, slots: 8, workTime: 2 * time.Second, batching: 0.01, objective: 5 * time.Second, length: 60 * time.Second, estimated: true}
	engineLoad      = workload{targets: 41, slots: 8, workTime: 2 * time.Second, batching: 0.1, objective: 5 * time.Second, length: 60 * time.Second}
)

// placement is a way to pick a target.
type placement int

const (
	byFinish placement = iota
	byEarlierCost
	byRoundRobin
	byLeastRequests
)

func (p placement) String() string {
	return [...]string{"finish time", "earlier cost", "round robin", "least requests"}[p]
}

// placedRequest is a request at a target, or one that waits there.
type placedRequest struct {
	gateway *Directory
	grant   Grant
	left    float64
	// eventAt is when the last event arrived, eventWork the work of one event, and nextEvent
	// what is left of the work at the next one.
	eventAt              time.Duration
	eventWork, nextEvent float64
	arrived              time.Duration
	began                time.Duration
}

type simTarget struct {
	entry     Entry
	speed     float64
	slowUntil time.Duration
	running   []*placedRequest
	waiting   []*placedRequest
}

// placementSimulation plays a workload in small steps of time.
type placementSimulation struct {
	workload
	placement placement
	random    *rand.Rand
	elapsed   time.Duration
	gateways  []*Directory
	targets   map[sillid.TargetID]*simTarget
	ids       []sillid.TargetID
	pending   []*placedRequest
	next      []int
	took      []time.Duration
	// tookLong holds the times of the long requests.
	tookLong []time.Duration
	// sent counts the requests, and queued those that found their target full.
	sent, queued int
}

func newPlacementSimulation(w workload, p placement, seed uint64) *placementSimulation {
	s := &placementSimulation{workload: w, placement: p, random: rand.New(rand.NewPCG(seed, 9)), targets: make(map[sillid.TargetID]*simTarget)}
	for i := range w.targets {
		id := sillid.TargetID(fmt.Sprintf("t%02d", i))
		speed := placementSpeeds[i%len(placementSpeeds)]
		if w.equal {
			speed = 1
		}
		s.targets[id] = &simTarget{speed: speed, entry: Entry{ID: id, Pool: "p", State: Ready, Slots: w.slots, StartedAt: start}}
		s.ids = append(s.ids, id)
	}
	for i := range placementGateways {
		d := NewDirectoryWith(Config{Seed: seed*100 + uint64(i) + 1})
		for _, id := range s.ids {
			d.Apply(s.targets[id].entry)
		}
		s.gateways = append(s.gateways, d)
		s.next = append(s.next, i)
	}
	return s
}

// play returns the times of the requests, sorted.
func (s *placementSimulation) play() []time.Duration {
	speed := 0.0
	for _, id := range s.ids {
		speed += s.targets[id].speed
	}
	slowShare := slowdownLength.Seconds() / slowdownEvery.Seconds()
	speed *= 1 - slowShare*(1-1/slowdownFactor)
	rate := s.share * speed * float64(s.slots) / s.workTime.Seconds() / (1 + s.batching*float64(s.slots-1))
	for ; s.elapsed < s.length; s.elapsed += placementTick {
		for range poisson(s.random, rate*placementTick.Seconds()) {
			s.pending = append(s.pending, &placedRequest{
				gateway: s.gateways[s.random.IntN(len(s.gateways))], left: s.workTime.Seconds() * (0.5 + s.random.Float64()), arrived: s.elapsed,
			})
		}
		s.dispatch()
		for _, id := range s.ids {
			s.step(s.targets[id])
		}
	}
	slices.Sort(s.took)
	slices.Sort(s.tookLong)
	return s.took
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for sum := random.ExpFloat64(); sum < mean; sum += random.ExpFloat64() {
		n++
	}
	return n
}

// dispatch sends the pending requests to targets with a free slot, as far as a gateway sees any.
func (s *placementSimulation) dispatch() {
	var left []*placedRequest
	for _, r := range s.pending {
		g, ok := s.pick(r)
		if !ok {
			left = append(left, r)
			continue
		}
		r.grant = g
		t := s.targets[g.ID]
		s.sent++
		if len(t.running)+len(t.waiting) >= s.slots {
			s.queued++
		}
		t.waiting = append(t.waiting, r)
	}
	s.pending = left
}

func (s *placementSimulation) now() time.Time { return start.Add(s.elapsed) }

func (s *placementSimulation) pick(r *placedRequest) (Grant, bool) {
	d := r.gateway
	switch s.placement {
	case byRoundRobin:
		i := slices.Index(s.gateways, d)
		for range s.ids {
			s.next[i]++
			if t := d.targets[s.ids[s.next[i]%len(s.ids)]]; t.load(s.now()) < t.entry.Slots {
				return d.grant(s.now(), &Query{}, &candidate{target: t})
			}
		}
		return Grant{}, false
	case byLeastRequests:
		var best *target
		for _, i := range s.random.Perm(len(s.ids)) {
			t := d.targets[s.ids[i]]
			if t.load(s.now()) < t.entry.Slots && (best == nil || t.load(s.now()) < best.load(s.now())) {
				best = t
			}
		}
		return d.grant(s.now(), &Query{}, &candidate{target: best})
	case byFinish, byEarlierCost:
	}
	q := Query{Pool: "p", FreeOnly: true, Batched: s.batching > 0}
	if s.estimated {
		q.MovingCost = movingCost
		q.WorkTime = time.Duration(r.left * (0.8 + 0.4*s.random.Float64()) * float64(time.Second))
	}
	return d.Pick(s.now(), q)
}

// step plays one step of time at a target.
func (s *placementSimulation) step(t *simTarget) {
	if s.elapsed >= t.slowUntil && s.random.Float64() < placementTick.Seconds()/slowdownEvery.Seconds() {
		t.slowUntil = s.elapsed + slowdownLength
	}
	for len(t.running) < s.slots && len(t.waiting) > 0 {
		r := t.waiting[0]
		r.began, r.eventAt, r.eventWork = s.elapsed, s.elapsed, r.left/placementEvents
		r.nextEvent = r.left - r.eventWork
		if s.batching > 0 {
			// The head of a stream reports the load.
			r.gateway.Observe(s.now(), r.grant, s.load(t), 0)
		}
		t.running, t.waiting = append(t.running, t.waiting[0]), t.waiting[1:]
	}
	duration := s.duration(t)
	progress := placementTick.Seconds() * t.speed / duration / (1 + s.batching*float64(len(t.running)-1))
	load := s.load(t)
	var left []*placedRequest
	for _, r := range t.running {
		if r.left -= progress; r.left > 0 {
			if s.batching > 0 && r.left <= r.nextEvent {
				r.gateway.Observe(s.now(), r.grant, nil, s.elapsed-r.eventAt)
				r.eventAt, r.nextEvent = s.elapsed, r.nextEvent-r.eventWork
			}
			left = append(left, r)
			continue
		}
		now := s.now()
		if s.batching == 0 {
			r.gateway.Observe(now, r.grant, load, s.elapsed-r.began+placementTick)
		}
		r.gateway.Release(now, r.grant, Answered)
		s.took = append(s.took, s.elapsed-r.arrived)
		if r.eventWork*placementEvents >= longShare*s.workTime.Seconds() {
			s.tookLong = append(s.tookLong, s.elapsed-r.arrived)
		}
	}
	t.running = left
}

func (s *placementSimulation) duration(t *simTarget) float64 {
	if s.elapsed < t.slowUntil {
		return slowdownFactor
	}
	return 1
}

// load returns the load that a target reports.
func (s *placementSimulation) load(t *simTarget) *Load {
	load := &Load{Running: len(t.running), Waiting: len(t.waiting), Slots: s.slots}
	if s.placement == byFinish && !s.equal {
		load.Duration = int(100 * s.duration(t))
	}
	return load
}

// placementFigures are what callers get.
type placementFigures struct {
	mean, p50, p95, p99 time.Duration
	// inTime is the share of the requests within the objective.
	inTime float64
	// long is the mean of the long requests, and queued the share of all that found their target full.
	long   time.Duration
	queued float64
}

func figuresOf(w workload, p placement) placementFigures {
	s := newPlacementSimulation(w, p, 1)
	took := s.play()
	sum, long, inTime := time.Duration(0), time.Duration(0), 0
	for _, d := range took {
		sum += d
		if d <= w.objective {
			inTime++
		}
	}
	for _, d := range s.tookLong {
		long += d
	}
	at := func(share float64) time.Duration { return took[int(share*float64(len(took)-1))] }
	return placementFigures{
		mean: sum / time.Duration(len(took)), p50: at(0.5), p95: at(0.95), p99: at(0.99), inTime: float64(inTime) / float64(len(took)),
		long: long / time.Duration(len(s.tookLong)), queued: float64(s.queued) / float64(s.sent),
	}
}

// TestPlacement compares what callers get with the ways to pick a target, at a service and at
// engines: by finish time, fewer requests must miss the objective than by round robin and least
// requests, and no more than by the earlier cost, which drops the reported durations.
func TestPlacement(t *testing.T) {
	for name, base := range map[string]workload{"service": scorerLoad, "engines": engineLoad, "light engines": lightEngineLoad} {
		for _, share := range []float64{0.4, 0.7, 0.9} {
			t.Run(fmt.Sprintf("%s at %v", name, share), func(t *testing.T) {
				w := base
				w.share = share
				figures := make(map[placement]placementFigures)
				for _, p := range []placement{byFinish, byEarlierCost, byRoundRobin, byLeastRequests} {
					f := figuresOf(w, p)
					figures[p] = f
					t.Logf("%-14v mean %v p50 %v p95 %v p99 %v long %v in time %.3f queued %.3f", p, f.mean, f.p50, f.p95, f.p99, f.long, f.inTime, f.queued)
				}
				for _, p := range []placement{byRoundRobin, byLeastRequests} {
					if figures[byFinish].inTime < figures[p].inTime {
						t.Errorf("%.3f in time, fewer than %.3f by %v", figures[byFinish].inTime, figures[p].inTime, p)
					}
				}
				if figures[byFinish].inTime < figures[byEarlierCost].inTime-placementNoise {
					t.Errorf("%.3f in time, fewer than %.3f by the earlier cost", figures[byFinish].inTime, figures[byEarlierCost].inTime)
				}
				if w.batching == lightEngineLoad.batching {
					checkLongRequests(t, figures[byFinish], figures[byEarlierCost], longTimes[share])
				}
			})
		}
	}
}

// longTimes holds the greatest time of long requests by load, as a share of that by the earlier
// cost, at engines that slow down by little. At a low load, gateways learn for most of the simulation.
var longTimes = map[float64]float64{0.4: 0.98, 0.7: 0.88, 0.9: 0.8}

// maxMoreQueued is by how much the share of requests that find their target full may grow.
const maxMoreQueued = 0.06

func checkLongRequests(t *testing.T, got, earlier placementFigures, maxShare float64) {
	t.Helper()
	if share := got.long.Seconds() / earlier.long.Seconds(); share > maxShare {
		t.Errorf("long requests take %v, %.3f of the %v by the earlier cost; want at most %v", got.long, share, earlier.long, maxShare)
	}
	if got.queued > earlier.queued+maxMoreQueued {
		t.Errorf("%.3f of the requests find their target full, %.3f by the earlier cost", got.queued, earlier.queued)
	}
}

// placementNoise is the difference in the share in time between two runs of a simulation that
// differ only in their random numbers.
const placementNoise = 0.02

// TestPlacementWithoutReportsIsAsBefore guards against a choice that changes where targets are
// equally fast and report no durations.
func TestPlacementWithoutReportsIsAsBefore(t *testing.T) {
	d := directory(entry("a", 2, 1), entry("b", 2, 1), entry("c", 2, 1))
	for range 50 {
		for _, id := range []sillid.TargetID{"a", "b", "c"} {
			d.Observe(start, Grant{ID: id, target: d.targets[id]}, &Load{Running: 0, Slots: 2}, 40*time.Millisecond)
		}
	}
	for _, want := range []sillid.TargetID{"a", "b", "c", "a", "b", "c"} {
		checkPick(t, d, start, Query{FreeOnly: true, WorkTime: time.Second, DueIn: 2 * time.Second}, want)
	}
}

// report makes a target report the duration of work after it has done some at a time for a unit.
func report(d *Directory, now time.Time, id sillid.TargetID, unit time.Duration, duration int) {
	g := Grant{ID: id, target: d.targets[id]}
	for range 20 {
		d.Observe(now, g, &Load{Slots: 4, Duration: 100}, unit)
	}
	d.Observe(now, g, &Load{Slots: 4, Duration: duration}, 0)
}

func TestSlowdownsAreForgotten(t *testing.T) {
	d := directory(entry("a", 4, 1), entry("b", 4, 1))
	report(d, start, "a", 100*time.Millisecond, 250)
	report(d, start, "b", 125*time.Millisecond, 100)
	if g := checkPick(t, d, start, Query{}, "b"); g.ID == "b" {
		d.Release(start, g, Abandoned)
	}
	speed := &d.targets["a"].speed
	for after, want := range map[time.Duration]float64{0: 2.5, slowdownHalfLife: 1.75, 10 * slowdownHalfLife: 1} {
		if got := speed.current(start.Add(after)); got < want-0.01 || got > want+0.01 {
			t.Errorf("work takes %.2f times as long after %v, want %.2f", got, after, want)
		}
	}
	if speed.usual != 100*time.Millisecond {
		t.Errorf("usual time %v, want 100ms", speed.usual)
	}
}

// TestUsualSpeedLeavesSlowdownsOut guards against a slowdown that counts twice: as reported and
// in the measured time.
func TestUsualSpeedLeavesSlowdownsOut(t *testing.T) {
	d := directory(entry("a", 4, 1))
	report(d, start, "a", 100*time.Millisecond, 250)
	for range 50 {
		d.Observe(start, Grant{ID: "a", target: d.targets["a"]}, &Load{Slots: 4, Duration: 250}, 250*time.Millisecond)
	}
	if got := d.targets["a"].speed.usual; got != 100*time.Millisecond {
		t.Errorf("usual time %v, want 100ms", got)
	}
}

// TestGatewaysSpread guards against gateways that all send to the target that reported to be
// the fastest one.
func TestGatewaysSpread(t *testing.T) {
	counts := make(map[sillid.TargetID]int)
	for seed := range uint64(40) {
		d := NewDirectoryWith(Config{Seed: seed + 1})
		for i, id := range []sillid.TargetID{"a", "b", "c", "d"} {
			d.Apply(entry(id, 4, 1))
			report(d, start, id, 100*time.Millisecond, 90+i)
		}
		g, _ := d.Pick(start, Query{Pool: "p"})
		counts[g.ID]++
	}
	if most := max(counts["a"], counts["b"], counts["c"], counts["d"]); most > 30 || len(counts) < 3 {
		t.Errorf("first picks of 40 gateways %v, want them spread", counts)
	}
}

// TestDueItemsLeaveSlowTargets guards against an item at an engine where it misses its due time
// although it would not at another free one.
func TestDueItemsLeaveSlowTargets(t *testing.T) {
	for _, duration := range []int{0, 100} {
		d := directory(entry("fast", 4, 1), entry("slow", 4, 1))
		report(d, start, "fast", 60*time.Millisecond, duration)
		report(d, start, "slow", 160*time.Millisecond, duration)
		q := Query{Pool: "p", Cached: "slow", CachedSaving: 1, Batched: true, WorkTime: 2 * time.Second}
		q.DueIn = 4 * time.Second
		checkPick(t, d, start, q, "slow")
		q.DueIn = 2500 * time.Millisecond
		checkPick(t, d, start, q, "fast")
		q.DueIn = 500 * time.Millisecond
		checkPick(t, d, start, q, "slow")
	}
}

// TestShortSlowdownsMoveNothing guards against migrations for a slowdown that is over before the
// prompt is prefilled again.
func TestShortSlowdownsMoveNothing(t *testing.T) {
	d := directory(entry("a", 4, 1), entry("b", 4, 1))
	report(d, start, "a", 100*time.Millisecond, 250)
	report(d, start, "b", 100*time.Millisecond, 100)
	q := Query{Pool: "p", MovingCost: 100 * time.Millisecond}
	if m, ok := d.FindMove(start, "a", q, 20, nil); ok || m.Here > 2400*time.Millisecond || m.There != 2*time.Second {
		t.Errorf("move %+v, worth it %t; want none and little more than the 2s elsewhere", m, ok)
	}
	lasting := start.Add(3 * time.Second)
	d.Observe(lasting, Grant{ID: "a", target: d.targets["a"]}, &Load{Slots: 4, Duration: 250}, 0)
	if m, ok := d.FindMove(lasting, "a", q, 20, nil); !ok || m.Here < 3200*time.Millisecond {
		t.Errorf("move %+v, worth it %t, at a target that has been slow for 3 s; want one", m, ok)
	}
}
