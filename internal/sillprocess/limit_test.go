package sillprocess

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// The bound on requests to a target that names a limit: from limitStable after it first did,
// in limitWindow, one and a half times what the limit allows, and limitSlack.
const (
	limitStable = 3 * time.Second
	limitWindow = 4 * time.Second
	limitSlack  = 5
)

// loadGateways sends a request through all gateways for some time, some at a time at each,
// and returns how many got each status.
func (c *cluster) loadGateways(r request, senders int, length time.Duration) map[int]int {
	c.t.Helper()
	var mu sync.Mutex
	statuses := make(map[int]int)
	group := sillgroup.New(c.t.Context())
	end := time.Now().Add(length)
	for _, g := range c.gateways {
		for range senders {
			group.Go(func(context.Context) {
				for time.Now().Before(end) {
					a := c.send(g, r)
					mu.Lock()
					statuses[a.status]++
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	return statuses
}

// mostStarted returns the most runs at a stand-in that started in a window of limitWindow
// that begins later than a time.
func (c *cluster) mostStarted(tg *target, later time.Time) int {
	c.t.Helper()
	var starts []int64
	for _, run := range c.record(tg, "") {
		if at := int64(run["start"].(float64)); at >= later.UnixMilli() {
			starts = append(starts, at)
		}
	}
	slices.Sort(starts)
	most, first := 0, 0
	for i, at := range starts {
		for at-starts[first] >= limitWindow.Milliseconds() {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestTargetWithALimitGetsNoMore guards against targets behind agents that get more requests
// than the limit that they name, summed over the gateways.
func TestTargetWithALimitGetsNoMore(t *testing.T) {
	const perSecond = 2
	for _, tc := range []struct {
		name, pool, area string
		size             size
		request          request
		served           int
	}{
		{"service", "slot-desk", "bookings", size{services: 3, gateways: 2}, booking(`{"room":"1"}`), http.StatusCreated},
		{"engine", "cue-lm", "completions", size{engines: 3, gateways: 2}, completion("sing", 2), http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, tc.size)
			c.awaitServing()
			limited := c.targets[slices.IndexFunc(c.targets, func(tg *target) bool { return string(tg.pool) == tc.pool })]
			c.faults(limited, tc.area, map[string]any{"request-limit": "2"})
			named := time.Now()
			statuses := c.loadGateways(tc.request, 4, limitStable+6*time.Second)
			allowed := int(1.5*perSecond*limitWindow.Seconds()) + limitSlack
			if most := c.mostStarted(limited, named.Add(limitStable)); most > allowed || most == 0 {
				t.Errorf("a target with a limit of %d a second ran %d requests in %v, want 1 to %d", perSecond, most, limitWindow, allowed)
			}
			if len(statuses) != 1 || statuses[tc.served] == 0 {
				t.Errorf("requests by status: %v, want %d alone: they fit on the other targets", statuses, tc.served)
			}
		})
	}
}
