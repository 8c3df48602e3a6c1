package sillpermit

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var start = time.Unix(1000, 0)

var limitedRun = silltarget.Run{Target: "a", StartedAtMS: 1}

// TestScarcePermitsAreShared guards against an organisation with many requests that leaves
// no permits to others.
func TestScarcePermitsAreShared(t *testing.T) {
	g := newGranter()
	granted := map[sillid.OrganisationID]int{}
	for tick := range 6000 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		organisations := []sillid.OrganisationID{"large", "large", "large", "large"}
		if tick%25 == 0 {
			organisations = append(organisations, "small")
		}
		for _, o := range organisations {
			if g.decide(now, Ask{Run: limitedRun, Organisation: o}, 4, nil).Granted {
				granted[o]++
			}
		}
	}
	// The limit allows 240 requests in a minute; the small organisation asks 240 times.
	if granted["small"] < 80 {
		t.Errorf("permits by organisation: %v", granted)
	}
	if sum := granted["small"] + granted["large"]; sum < 228 {
		t.Errorf("%d of 240 permits were granted", sum)
	}
}

// TestCallersGoFirst checks that callers' requests get permits while background requests
// take all that there are.
func TestCallersGoFirst(t *testing.T) {
	g := newGranter()
	callers, asked, background := 0, 0, 0
	for tick := range 6000 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		for range 4 {
			if g.decide(now, Ask{Run: limitedRun, Class: sillrate.Background}, 2, nil).Granted {
				background++
			}
		}
		if tick%100 == 99 {
			asked++
			if g.decide(now, Ask{Run: limitedRun, Organisation: "o"}, 2, nil).Granted {
				callers++
			}
		}
	}
	if callers < asked-2 || background < 55 {
		t.Errorf("%d of %d callers and %d background requests got permits", callers, asked, background)
	}
}

// TestForcedRequestsCount checks that requests that don't wait are taken off what others get.
func TestForcedRequestsCount(t *testing.T) {
	g := newGranter()
	now := start
	g.decide(now, Ask{Run: limitedRun, Forced: true}, 1, nil)
	now = now.Add(1500 * time.Millisecond)
	if g.decide(now, Ask{Run: limitedRun}, 1, nil).Granted {
		t.Error("a permit was granted that a forced request had used")
	}
}

// TestSlotsAreDisjoint checks that gateways that reach no other one send no more together
// than their share of the limit.
func TestSlotsAreDisjoint(t *testing.T) {
	for _, tc := range []struct {
		gateways int
		limit    sillrate.PerSecond
	}{{8, 0.3}, {133, 2}, {3, 100}} {
		slotters := make([]slotter, tc.gateways)
		sent := 0
		const length = 2 * time.Minute
		for now := start; now.Before(start.Add(length)); now = now.Add(5 * time.Millisecond) {
			for i := range slotters {
				if slotters[i].take(now, tc.limit, Position{Index: i, Count: tc.gateways}).Granted {
					sent++
				}
			}
		}
		most := slotShare * float64(tc.limit) * length.Seconds()
		if float64(sent) > most+1 || float64(sent) < 0.9*most-1 {
			t.Errorf("%d gateways at %g a second sent %d requests in %v, want %.0f", tc.gateways, tc.limit, sent, length, most)
		}
	}
}
