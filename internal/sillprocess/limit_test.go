package sillprocess

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillsoak"
)

// limitBound is the bound on requests to a target that names a limit.
var limitBound = sillsoak.LimitBound{Stable: 3 * time.Second, Window: 4 * time.Second}

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

// mostStarted returns the most runs at a stand-in that started in a window of the bound.
func (c *cluster) mostStarted(tg *target, named time.Time) int {
	c.t.Helper()
	var starts []time.Time
	for _, run := range c.record(tg, "") {
		starts = append(starts, time.UnixMilli(int64(run["start"].(float64))))
	}
	return limitBound.Most(starts, named)
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
			statuses := c.loadGateways(tc.request, 4, limitBound.Stable+6*time.Second)
			allowed := limitBound.Allowed(perSecond)
			if most := c.mostStarted(limited, named); most > allowed || most == 0 {
				t.Errorf("a target with a limit of %d a second ran %d requests in %v, want 1 to %d", perSecond, most, limitBound.Window, allowed)
			}
			if len(statuses) != 1 || statuses[tc.served] == 0 {
				t.Errorf("requests by status: %v, want %d alone: they fit on the other targets", statuses, tc.served)
			}
		})
	}
}
