package silltarget

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// unsound returns a directory of targets that may be unhealthy while their health check passes.
func unsound(entries ...Entry) *Directory {
	d := NewDirectoryWith(Config{UnsoundTargets: true})
	for _, e := range entries {
		d.Apply(e)
	}
	return d
}

// respond records outcomes of attempts at a target.
func respond(d *Directory, now time.Time, id sillid.TargetID, outcomes ...Outcome) {
	for _, o := range outcomes {
		t := d.targets[id]
		t.running++
		d.Release(now, Grant{ID: id, target: t}, o)
	}
}

func repeat(o Outcome, n int) []Outcome {
	list := make([]Outcome, n)
	for i := range list {
		list[i] = o
	}
	return list
}

func checkEjected(t *testing.T, d *Directory, now time.Time, id sillid.TargetID, want bool) {
	t.Helper()
	if got := d.targets[id].errors.leavesOut(now, sillrate.Background); got != want {
		t.Errorf("target %s is left out: %t, want %t", id, got, want)
	}
}

func TestOutliersAreEjected(t *testing.T) {
	for _, tc := range []struct {
		name        string
		bad, others []Outcome
		ejected     bool
	}{
		{"two errors", repeat(Errored, 2), nil, false},
		{"three errors", repeat(Errored, 3), nil, true},
		{"errors of requests that fail elsewhere too", repeat(ErroredAgain, 20), nil, false},
		{"the others have errors, too", repeat(Errored, 3), repeat(Errored, 2), false},
		{"few errors among answers", []Outcome{Errored, Answered, Answered, Errored, Answered, Answered, Errored}, nil, false},
		{"cancelled attempts", repeat(Abandoned, 20), nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := unsound(entry("bad", 4, 1), entry("b", 4, 1), entry("c", 4, 1))
			respond(d, start, "b", tc.others...)
			respond(d, start, "c", tc.others...)
			respond(d, start, "bad", tc.bad...)
			checkEjected(t, d, start, "bad", tc.ejected)
		})
	}
}

// TestOldErrorsAreForgotten guards against the ejection of a target for one error now and then.
func TestOldErrorsAreForgotten(t *testing.T) {
	d := unsound(entry("a", 4, 1), entry("b", 4, 1))
	for i := range 50 {
		respond(d, start.Add(time.Duration(i)*2*errorHalfLife), "a", Errored)
	}
	checkEjected(t, d, start.Add(100*errorHalfLife), "a", false)
}

func TestNeverMoreThanHalfOfAPoolIsEjected(t *testing.T) {
	for targets, want := range map[int]int{1: 0, 2: 1, 3: 1, 6: 3, 14: 7} {
		d := unsound()
		for i := range targets {
			d.Apply(entry(sillid.TargetID(fmt.Sprint(i)), 4, 1))
		}
		ejected := 0
		for i := range targets {
			id := sillid.TargetID(fmt.Sprint(i))
			respond(d, start, id, repeat(Errored, 4)...)
			if d.targets[id].errors.leavesOut(start, sillrate.Background) {
				ejected++
			}
		}
		if ejected != want {
			t.Errorf("%d of %d targets are ejected, want %d", ejected, targets, want)
		}
	}
}

func TestEjectionsGrowAndEnd(t *testing.T) {
	d := unsound(entry("bad", 4, 1), entry("b", 4, 1))
	respond(d, start, "bad", repeat(Errored, 3)...)
	now := start
	for i, want := range []time.Duration{initialEjection, 2 * initialEjection, 4 * initialEjection, maxEjection, maxEjection} {
		if got := d.targets["bad"].errors.until.Sub(now); got != want {
			t.Errorf("ejection %d takes %v, want %v", i+1, got, want)
		}
		checkEjected(t, d, now.Add(want-time.Millisecond), "bad", true)
		now = now.Add(want)
		exclude := map[sillid.TargetID]bool{"b": true}
		g := checkPick(t, d, now, Query{Exclude: exclude, Class: sillrate.Background}, "bad")
		checkPick(t, d, now, Query{Exclude: exclude, Class: sillrate.Background}, "")
		d.Release(now, g, Errored)
	}
	now = now.Add(maxEjection)
	respondProbe(t, d, now, Answered)
	checkEjected(t, d, now, "bad", false)
	respond(d, now, "bad", repeat(Errored, 2)...)
	checkEjected(t, d, now, "bad", true)
}

func respondProbe(t *testing.T, d *Directory, now time.Time, o Outcome) {
	t.Helper()
	d.Release(now, checkPick(t, d, now, Query{Exclude: map[sillid.TargetID]bool{"b": true}, Class: sillrate.Background}, "bad"), o)
}

// TestCancelledProbeIsRepeated guards against a target that stays left out for good, since the
// request that probed it was cancelled.
func TestCancelledProbeIsRepeated(t *testing.T) {
	d := unsound(entry("bad", 4, 1), entry("b", 4, 1))
	respond(d, start, "bad", repeat(Errored, 3)...)
	now := start.Add(initialEjection)
	respondProbe(t, d, now, Abandoned)
	respondProbe(t, d, now, Answered)
	checkEjected(t, d, now, "bad", false)
}

// TestCallersProbeLast guards against errors that callers get although a score request may
// find out that a target still fails.
func TestCallersProbeLast(t *testing.T) {
	d := unsound(entry("bad", 4, 1), entry("b", 4, 1))
	respond(d, start, "bad", repeat(Errored, 3)...)
	q := Query{Exclude: map[sillid.TargetID]bool{"b": true}, Class: sillrate.Interactive}
	checkPick(t, d, start.Add(initialEjection), q, "")
	checkPick(t, d, start.Add(initialEjection+probePrecedence), q, "bad")
}

// The score service of the simulation.
const (
	scorers          = 14
	scorerSlots      = 6
	scoreTime        = 80 * time.Millisecond
	scoreErrorTime   = 2 * time.Millisecond
	scoreRetry       = 100 * time.Millisecond
	scoreAttempts    = 4
	scoreGateways    = 8
	scorePerSecond   = 400
	scoreCallers     = 12
	scoreFaultFrom   = 2 * time.Second
	scoreFaultLength = 6 * time.Second
	scoreDuration    = 12 * time.Second
)

// scoreSimulation simulates score requests and callers of several gateways at a service.
type scoreSimulation struct {
	now    time.Time
	events eventQueue
	random *rand.Rand
	// gateways are the directories, one for each gateway.
	gateways []*Directory
	running  map[sillid.TargetID]int
	queues   map[sillid.TargetID][]func()
	// judges is whether errors are told to the directories and requests are tried elsewhere.
	// Without it, errors count as answers, as they did before.
	judges bool
	// poisoned is the share of the requests that get an error at every target.
	poisoned float64

	// bursts is whether score requests come in bursts, beside whether they wait at their gateway
	// rather than in long queues.
	bursts, beside bool
	// took holds the times of the served requests by class, refused the callers without room.
	took    [sillrate.Classes][]time.Duration
	refused int

	errors, callerErrors, lost, poisonedLost, ejections int
}

func newScoreSimulation(judges bool, poisoned float64) *scoreSimulation {
	s := &scoreSimulation{
		now: start, random: rand.New(rand.NewPCG(3, 4)), running: make(map[sillid.TargetID]int),
		queues: make(map[sillid.TargetID][]func()), judges: judges, poisoned: poisoned,
	}
	for i := range scoreGateways {
		d := NewDirectoryWith(Config{Seed: uint64(i + 1), UnsoundTargets: true, OnEjection: func(e Ejection) {
			if e.Decision == Ejected {
				s.ejections++
			}
		}})
		for j := range scorers {
			d.Apply(Entry{ID: sillid.TargetID(fmt.Sprintf("t%02d", j)), Pool: "p", State: Ready, Slots: scorerSlots, StartedAt: start})
		}
		s.gateways = append(s.gateways, d)
	}
	return s
}

func (s *scoreSimulation) after(wait time.Duration, run func()) {
	heap.Push(&s.events, event{at: s.now.Add(wait), run: run})
}

func (s *scoreSimulation) play() {
	for range int(scorePerSecond * scoreDuration.Seconds()) {
		s.schedule(&scoreRequest{attempts: scoreAttempts, class: sillrate.Background})
	}
	for range int(scoreCallers * scoreDuration.Seconds()) {
		s.schedule(&scoreRequest{attempts: 1, class: sillrate.Interactive})
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// scoreRequest is a score request, or a request of a caller, which is not tried again.
type scoreRequest struct {
	gateway  *Directory
	attempts int
	class    sillrate.Class
	poisoned bool
	tried    map[sillid.TargetID]bool
	// arrived is the time of the first attempt.
	arrived time.Time
}

func (s *scoreSimulation) schedule(r *scoreRequest) {
	r.gateway = s.gateways[s.random.IntN(len(s.gateways))]
	r.poisoned = s.random.Float64() < s.poisoned
	at := time.Duration(s.random.Float64() * float64(scoreDuration))
	if s.bursts && r.class == sillrate.Background {
		at = at.Truncate(scoreBurstEvery)
	}
	r.arrived = s.now.Add(at)
	s.after(at, func() { s.attempt(r) })
}

func (s *scoreSimulation) attempt(r *scoreRequest) {
	q := Query{Pool: "p", Class: r.class}
	if s.judges {
		q.Exclude = r.tried
	}
	g, ok := s.pick(r, q)
	if !ok && s.bursts && r.class == sillrate.Interactive && s.now.Sub(r.arrived) >= scoreObjective/5 {
		s.refused++
		return
	}
	if !ok {
		s.after(10*time.Millisecond, func() { s.attempt(r) })
		return
	}
	sentAt := s.now
	if s.fails(g.ID) || r.poisoned {
		s.after(scoreErrorTime, func() { s.fail(r, g) })
		return
	}
	s.queues[g.ID] = append(s.queues[g.ID], func() { s.execute(r, g, sentAt) })
	s.serve(g.ID)
}

// pick picks a target as a gateway does for callers, and for score requests as it does if beside
// is set, and did before otherwise.
func (s *scoreSimulation) pick(r *scoreRequest, q Query) (Grant, bool) {
	if !s.bursts {
		return r.gateway.Pick(s.now, q)
	}
	if s.beside && r.class == sillrate.Background && s.now.Sub(r.arrived) < scoreBesideWait {
		q.MaxUtilisation = scoreUtilisation
		return r.gateway.Pick(s.now, q)
	}
	free := q
	free.FreeOnly = true
	if g, ok := r.gateway.Pick(s.now, free); ok {
		return g, true
	}
	if r.class == sillrate.Interactive {
		q.MaxResponseTime = scoreObjective*8/10 - s.now.Sub(r.arrived)
	}
	return r.gateway.Pick(s.now, q)
}

func (s *scoreSimulation) fails(id sillid.TargetID) bool {
	since := s.now.Sub(start) - scoreFaultFrom
	return !s.bursts && id == "t03" && since >= 0 && since < scoreFaultLength
}

func (s *scoreSimulation) fail(r *scoreRequest, g Grant) {
	s.errors++
	outcome, took := Errored, time.Duration(0)
	switch {
	case !s.judges:
		outcome, took = Answered, scoreErrorTime
	case len(r.tried) > 0:
		outcome = ErroredAgain
	}
	r.gateway.Observe(s.now, g, s.load(g.ID), took)
	r.gateway.Release(s.now, g, outcome)
	r.tried = Excluding(r.tried, g.ID)
	if r.class == sillrate.Interactive {
		s.callerErrors++
		return
	}
	r.attempts--
	switch {
	case r.attempts > 0:
		s.after(scoreRetry, func() { s.attempt(r) })
	case r.poisoned:
		s.poisonedLost++
	default:
		s.lost++
	}
}

func (s *scoreSimulation) load(id sillid.TargetID) *Load {
	return &Load{Running: s.running[id], Waiting: len(s.queues[id]), Slots: scorerSlots}
}

func (s *scoreSimulation) serve(id sillid.TargetID) {
	for s.running[id] < scorerSlots && len(s.queues[id]) > 0 {
		run := s.queues[id][0]
		s.queues[id] = s.queues[id][1:]
		s.running[id]++
		run()
	}
}

func (s *scoreSimulation) execute(r *scoreRequest, g Grant, sentAt time.Time) {
	s.after(time.Duration(float64(scoreTime)*(0.5+s.random.Float64())), func() {
		r.gateway.Observe(s.now, g, s.load(g.ID), s.now.Sub(sentAt))
		s.running[g.ID]--
		r.gateway.Release(s.now, g, Answered)
		s.took[r.class] = append(s.took[r.class], s.now.Sub(r.arrived))
		s.serve(g.ID)
	})
}

// TestFastErrorsLoseNoItems simulates a target that answers an error to every request for 6 s,
// quickly. Counted as an answer, a fast error makes the target the cheapest one: it draws the
// repetitions of the score requests, whose items are lost.
func TestFastErrorsLoseNoItems(t *testing.T) {
	before, now := newScoreSimulation(false, 0), newScoreSimulation(true, 0)
	before.play()
	now.play()
	t.Logf("errors, errors of callers, items lost: %d %d %d as answers, %d %d %d with ejection, %d ejections",
		before.errors, before.callerErrors, before.lost, now.errors, now.callerErrors, now.lost, now.ejections)
	if before.lost < 50 {
		t.Errorf("%d items lost while errors count as answers; the load is not the one that is simulated", before.lost)
	}
	if now.lost > 0 {
		t.Errorf("%d items lost, want none", now.lost)
	}
	if now.errors*5 > before.errors {
		t.Errorf("%d errors, want at most a fifth of %d", now.errors, before.errors)
	}
}

// TestPoisonedRequestsEjectNoTargets simulates requests that get an error at every target
// beside one that fails for 6 s: they must not cost sound targets, nor shield the other one.
func TestPoisonedRequestsEjectNoTargets(t *testing.T) {
	for _, share := range []float64{0.01, 0.05, 0.3} {
		s := newScoreSimulation(true, share)
		s.play()
		t.Logf("share %v: %d items lost, %d of them poisoned, %d ejections", share, s.lost+s.poisonedLost, s.poisonedLost, s.ejections)
		if s.lost > 0 {
			t.Errorf("share %v: %d sound items lost", share, s.lost)
		}
		if s.ejections > 10*scoreGateways {
			t.Errorf("share %v: %d ejections, want at most %d", share, s.ejections, 10*scoreGateways)
		}
	}
}
