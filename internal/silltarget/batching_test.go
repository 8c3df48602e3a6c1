package silltarget

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// batchSimulation reports loads and times of a few targets to a directory.
type batchSimulation struct {
	directory *Directory
	random    *rand.Rand
	now       time.Time
	// slowWhenFull is whether a reported slowdown begins when a target is nearly full.
	slowWhenFull bool
	// duration is the reported duration of work at the usual speed; 0 for no report.
	duration int
}

func newBatchSimulation() *batchSimulation {
	return &batchSimulation{
		directory: directory(entry("a", 8, 1), entry("b", 8, 1), entry("c", 8, 1)),
		random:    rand.New(rand.NewPCG(1, 1)), now: start, duration: 100,
	}
}

// play adds observations at targets of different speeds and load, in which each further request
// delays the others by a share.
func (s *batchSimulation) play(observations int, delay float64) {
	for i := range observations {
		s.now = s.now.Add(100 * time.Millisecond)
		speed := i % 3
		id := []sillid.TargetID{"a", "b", "c"}[speed]
		// Faster targets have more requests.
		load := 1 + speed + s.random.IntN(6)
		unit := 100 / placementSpeeds[speed] * (1 + delay*float64(load-1)) * (0.7 + 0.6*s.random.Float64())
		duration := s.duration
		if s.slowWhenFull && load >= 7 {
			unit, duration = unit*slowdownFactor, 250
		}
		g := Grant{ID: id, target: s.directory.targets[id]}
		s.directory.Observe(s.now, g, &Load{Running: load, Slots: 8, Duration: duration}, time.Duration(unit*float64(time.Millisecond)))
	}
}

func checkBatchDelay(t *testing.T, s *batchSimulation, want float64) {
	t.Helper()
	b := s.directory.batches["p"]
	if b.confidence() < 1 {
		t.Fatalf("confidence %.2f, want 1", b.confidence())
	}
	if got := b.delay(); math.Abs(got-want) > 0.02+want/10 {
		t.Errorf("estimated delay by each further request %.3f, want %.3f", got, want)
	}
}

// TestBatchDelayIsLearnt guards against an estimate that takes the speed of a target or a
// reported slowdown for the delay by other requests.
func TestBatchDelayIsLearnt(t *testing.T) {
	for _, delay := range []float64{minBatchDelay, 0.1, 0.3} {
		for _, slowWhenFull := range []bool{false, true} {
			t.Run(fmt.Sprintf("delay %v, slow when full %t", delay, slowWhenFull), func(t *testing.T) {
				s := newBatchSimulation()
				s.slowWhenFull = slowWhenFull
				s.play(2000, delay)
				checkBatchDelay(t, s, delay)
			})
		}
	}
}

// TestBatchDelayIsForgotten guards against an estimate that keeps what was true of earlier loads.
func TestBatchDelayIsForgotten(t *testing.T) {
	s := newBatchSimulation()
	s.play(2000, 0.3)
	s.now = s.now.Add(8 * batchMemory)
	s.play(2000, 0.05)
	checkBatchDelay(t, s, 0.05)
}

// TestBatchDelayIsBounded guards against a cost without a rise, or below 0, from times that fall
// with the load.
func TestBatchDelayIsBounded(t *testing.T) {
	for _, delay := range []float64{-0.1, 0} {
		s := newBatchSimulation()
		s.play(2000, delay)
		if got := s.directory.batches["p"].delay(); got < minBatchDelay || got > minBatchDelay+0.02 {
			t.Errorf("estimated delay %.3f for %.3f, want about %v", got, delay, minBatchDelay)
		}
	}
	s := newBatchSimulation()
	s.play(2000, 20)
	if got := s.directory.batches["p"].delay(); got <= 0.3 || got > maxBatchDelay {
		t.Errorf("estimated delay %.3f for 20, want a high one up to %v", got, maxBatchDelay)
	}
}

// TestFewObservationsKeepTheCost guards against a choice by an estimate from too few observations,
// and against one in pools that report no durations.
func TestFewObservationsKeepTheCost(t *testing.T) {
	for name, tc := range map[string]struct{ observations, duration int }{
		"few observations": {3 * minBatchSamples, 100},
		"no durations":     {2000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s := newBatchSimulation()
			s.duration = tc.duration
			s.play(tc.observations, 0.01)
			target := s.directory.targets["c"]
			q := Query{Pool: "p", Batched: true}
			want := time.Second.Seconds() * target.utilisation(s.now, 1)
			if got := s.directory.batchCost(s.now, &q, target, time.Second); got != want {
				t.Errorf("cost %.3f, want %.3f", got, want)
			}
		})
	}
}

// TestNearlyFullFastTargets guards against a fast engine that is left out for its number of
// requests, and against one that is picked although it is full by now.
func TestNearlyFullFastTargets(t *testing.T) {
	s := newBatchSimulation()
	s.play(2000, 0.01)
	at := func(id sillid.TargetID, running int) {
		s.directory.Observe(s.now, Grant{ID: id, target: s.directory.targets[id]}, &Load{Running: running, Slots: 8, Duration: 100}, 0)
	}
	at("a", 0)
	at("b", 0)
	at("c", 3)
	q := Query{Pool: "p", Batched: true}
	checkPick(t, s.directory, s.now, q, "c")
	at("c", 8)
	checkPick(t, s.directory, s.now, q, "b")
}
