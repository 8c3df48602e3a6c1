package sillpermit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// coldBound is the bound of requests that a cold target gets within any second.
type coldBound struct {
	perSecond        sillrate.PerSecond
	overshoot, slack float64
}

func (b coldBound) allowed() int { return int(float64(b.perSecond)*b.overshoot + b.slack) }

// mostInASecond returns the most arrivals within any second.
func mostInASecond(arrivals []time.Time) int {
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for i, at := range arrivals {
		for at.Sub(arrivals[first]) > time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// coldPlay plays gateways that always have requests for one cold target.
type coldPlay struct {
	gateways int
	// place returns the granter that a gateway believes in.
	place func(now time.Time, gateway int) int
	// answers returns whether a granter answers a gateway in time.
	answers func(now time.Time, granter, gateway int) bool
	// settled returns whether the place of a granter is settled; nil stands for never.
	settled func(now time.Time, granter int) bool
}

// play returns the arrivals at the target.
func (p *coldPlay) play(length time.Duration, allowance sillrate.Allowance) []time.Time {
	const tick = 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	granters, slotters := make([]*granter, p.gateways), make([]slotter, p.gateways)
	for i := range granters {
		granters[i] = newGranter()
	}
	var arrivals []time.Time
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for i := range p.gateways {
			ask := Ask{Run: limitedRun, Class: sillrate.Class(random.IntN(2))}
			place := p.place(now, i)
			granted := false
			if p.answers(now, place, i) && p.place(now, place) == place {
				effective := allowance.For(p.settled != nil && p.settled(now, place))
				granted = granters[place].decide(now, ask, 0, &effective).Granted
			} else {
				granted = slotters[i].take(now, allowance.SlotRate/slotShare, Position{Index: i, Count: p.gateways}).Granted
			}
			if granted {
				arrivals = append(arrivals, now.Add(time.Duration(random.Int64N(int64(sillrate.PermitValidity)))))
			}
		}
	}
	return arrivals
}

func always(time.Time, int, int) bool { return true }

func fixed(granter int) func(time.Time, int) int { return func(time.Time, int) int { return granter } }

// TestColdTargetsStayWithinTheBound guards against more requests than a cold target bears
// within a second, whatever the gateways know of each other.
func TestColdTargetsStayWithinTheBound(t *testing.T) {
	const length = 14 * time.Second
	elapsed := func(now time.Time) time.Duration { return now.Sub(start) }
	settled := func(time.Time, int) bool { return true }
	// The second half is cut off after 3 s. The first half takes granter 1 for dead 2 s later,
	// and granter 0 is settled 4 s after that.
	cut := func(now time.Time, i int) int {
		if i%2 == 0 && elapsed(now) > 5*time.Second {
			return 0
		}
		return 1
	}
	changing := func(now time.Time, i int) int {
		late := time.Duration(i*7919%1500) * time.Millisecond
		return int(max(elapsed(now)-late, 0)/(6*time.Second)) % 8
	}
	for name, play := range map[string]coldPlay{
		"one granter":         {place: fixed(0), answers: always},
		"one settled granter": {place: fixed(0), answers: always, settled: settled},
		"half of the gateways do not reach the settled granter": {place: fixed(0), answers: func(_ time.Time, _, i int) bool { return i%2 == 0 }, settled: settled},
		"the settled granter is frozen for a second in four": {place: fixed(0), settled: settled, answers: func(now time.Time, _, _ int) bool {
			return elapsed(now)%(4*time.Second) < 3*time.Second
		}},
		"the settled granter changes, and each gateway learns it within 1.5 s": {answers: always, place: changing, settled: func(now time.Time, i int) bool {
			return elapsed(now) >= 4*time.Second && changing(now, i) == i && changing(now.Add(-4*time.Second), i) == i
		}},
		"a split view: a settled granter, one with an old view, and gateways that reach none": {
			place:   func(_ time.Time, i int) int { return i % 2 },
			answers: func(_ time.Time, _, i int) bool { return i%3 > 0 },
			settled: func(_ time.Time, granter int) bool { return granter == 0 },
		},
		"half of the gateways with the settled granter are cut off": {place: cut, answers: func(_ time.Time, granter, i int) bool { return granter%2 == i%2 }, settled: func(now time.Time, granter int) bool {
			return granter == 1 && elapsed(now) < 4500*time.Millisecond || granter == 0 && elapsed(now) > 9*time.Second
		}},
		"three granters with old views":                 {place: func(_ time.Time, i int) int { return i % 3 }, answers: always},
		"no granter reached":                            {place: fixed(0), answers: func(time.Time, int, int) bool { return false }},
		"half of the gateways do not reach the granter": {place: fixed(0), answers: func(_ time.Time, _, i int) bool { return i%2 == 0 }},
		"the granter is frozen for a second in four": {place: fixed(0), answers: func(now time.Time, _, _ int) bool {
			return elapsed(now)%(4*time.Second) < 3*time.Second
		}},
		"the granter changes, and each gateway learns it within 1.5 s": {answers: always, place: func(now time.Time, i int) int {
			late := time.Duration(i*7919%1500) * time.Millisecond
			return int(max(elapsed(now)-late, 0)/(3*time.Second)) % 8
		}},
		"two halves with a granter each, beside gateways that reach none": {
			place:   func(_ time.Time, i int) int { return i % 2 },
			answers: func(_ time.Time, _, i int) bool { return i%3 > 0 },
		},
	} {
		for _, gateways := range []int{8, 40, 300} {
			for _, bound := range []coldBound{{9.1, 1.5, 5}, {0.3, 1.5, 5}, {60, 1.5, 5}, {4, 1.2, 5}} {
				play.gateways = gateways
				allowance := sillrate.ColdAllowance(bound.perSecond, bound.overshoot, bound.slack)
				arrivals := play.play(length, allowance)
				most := mostInASecond(arrivals)
				t.Logf("%s, %d gateways, %g a second: at most %d in a second, %d allowed; %.1f a second granted", name, gateways,
					bound.perSecond, most, bound.allowed(), float64(len(arrivals))/length.Seconds())
				if most > bound.allowed() {
					t.Errorf("%s, %d gateways, %g a second: %d requests in a second, %d allowed", name, gateways, bound.perSecond, most, bound.allowed())
				}
			}
		}
	}
}

// TestColdPermitsOfTwoGateways checks that a granter that takes a target for warm limits the
// requests of a gateway that knows better, and that one that does not take itself for the
// granter leaves it to the time slots.
func TestColdPermitsOfTwoGateways(t *testing.T) {
	cold := &silltarget.ColdGrant{Allowance: sillrate.ColdAllowance(9.1, 1.5, 5)}
	granting, address := startGranter(t)
	asking := newMember(func() Place { return Place{Address: address} }, Position{Index: 1, Count: 2})
	ask := Ask{Run: limitedRun, Cold: cold}
	if v := asking.Acquire(t.Context(), ask); v.Granted {
		t.Error("a permit from an empty bucket")
	}
	granting.cfg.Place = func(silltarget.Run) Place { return Place{Address: "elsewhere"} }
	ask.Run.StartedAtMS++
	before := time.Now()
	for time.Since(before) < 3*time.Second {
		v := asking.Acquire(t.Context(), ask)
		if v.Granted {
			if granting.granter.runs[ask.Run] != nil {
				t.Error("a gateway granted a permit that does not take itself for the granter")
			}
			return
		}
		time.Sleep(v.RetryAfter)
	}
	t.Error("no permit in a time slot")
}
