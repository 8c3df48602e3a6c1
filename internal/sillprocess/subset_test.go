package sillprocess

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

func TestTargetThatLeavesTheSubsetEndsItsBookings(t *testing.T) {
	t.Parallel()
	const first, all, bookings = 5, 8, 40
	c := newCluster(t, size{services: all, oneStandin: true, tune: func(s *sillsettings.Gateway) {
		s.Control.Subset = 1
		s.Control.InstancePoll = 1
		// The scaler connects to every agent of its pool.
		s.Control.ScaleInterval = 0
	}})
	targets := c.targets
	c.targets = targets[:first]
	c.list()
	c.addGateway()
	g := c.gateways[0]
	c.awaitServing()
	c.awaitTargets(g, first)
	c.slowBookings(3 * time.Second)
	var running []chan answer
	for i := range bookings {
		running = append(running, c.later(g, booking(fmt.Sprintf(`{"room":%d}`, i))))
	}
	time.Sleep(500 * time.Millisecond)
	c.targets = targets
	c.list()
	for i, done := range running {
		a := await(t, done)
		checkStatus(t, a, http.StatusCreated)
		// All targets have one stand-in, whose record is read for each.
		if runs := c.bodyRuns(fmt.Sprintf(`{"room":%d}`, i)); runs != all {
			t.Errorf("booking %d ran %d times, want 1", i, runs/all)
		}
	}
	if c.metric(g.metric, "wasabisill_gateway_targets", "") >= all {
		t.Error("no target left the subset")
	}
}

// awaitTargets waits until that many targets serve a gateway.
func (c *cluster) awaitTargets(g *gateway, count int) {
	c.t.Helper()
	eventually(c.t, "the gateway uses its targets", func() bool {
		return c.metric(g.metric, "wasabisill_gateway_targets", `state="serving"`) == float64(count)
	})
}
