package sillprocess

import (
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
)

// scaleCluster has two services at work and one spare with its agent.
func scaleCluster(t *testing.T, platformArgs ...string) *cluster {
	c := newCluster(t, size{
		services: 3, gateways: 1, platformArgs: platformArgs,
		tune: func(s *sillsettings.Gateway) {
			s.Control.ScaleInterval = 0.5
			s.Control.ScaleDownHold = 3
			s.Control.InstancePoll = 0.5
			s.Platform.Timeout = 0.5
		},
		edit: func(b *sillbundle.Bundle) {
			b.Pools = b.Pools[1:]
			b.Pools[0].MinPerZone, b.Pools[0].MaxPerZone = 2, 4
			b.Models, b.Routes, b.Trainers = nil, b.Routes[1:], nil
			for i := range b.Organisations {
				b.Organisations[i].Routes = b.Organisations[i].Routes[1:]
			}
		},
	})
	c.spare()
	c.awaitServing()
	return c
}

// spare lists all targets but the last, which a start order brings up.
func (c *cluster) spare() {
	last := len(c.targets) - 1
	var listed []sillstandplatform.Instance
	for _, tg := range c.targets[:last] {
		listed = append(listed, tg.instance)
	}
	c.control(c.platformURL+"/standin/instances", map[string]any{
		"instances": listed, "spares": []sillstandplatform.Instance{c.targets[last].instance}, "at-once": true,
	})
}

// bound sets the pool's bounds in the availability zone.
func (c *cluster) bound(minimum, maximum int) {
	c.accept(func(b *sillbundle.Bundle) { b.Pools[0].MinPerZone, b.Pools[0].MaxPerZone = minimum, maximum })
}

// checkActions wants these orders to have taken effect, and no more for a while.
func (c *cluster) checkActions(t *testing.T, want ...string) []sillstandplatform.Order {
	t.Helper()
	eventually(t, "the orders take effect", func() bool { return len(c.platformRecord().Orders) >= len(want) })
	time.Sleep(3 * time.Second)
	orders := c.platformRecord().Orders
	if len(orders) != len(want) {
		t.Fatalf("%d orders took effect, want %d: %+v", len(orders), len(want), orders)
	}
	for i, o := range orders {
		if o.Action != want[i] {
			t.Errorf("order %d is %s, want %s", i, o.Action, want[i])
		}
	}
	return orders
}

func TestScale(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults map[string]any
		// lift is the time after which the faults end.
		lift time.Duration
	}{
		{"a missing instance is ordered once", nil, 0},
		{"the answer is lost", map[string]any{"orders": map[string]any{"answer-lost-next": 1}}, 0},
		{"all answers are lost for a while", map[string]any{"orders": map[string]any{"answer-lost": true}}, 4 * time.Second},
		{"the table is down for a while", map[string]any{"table": down}, 3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := scaleCluster(t)
			c.bound(3, 4)
			c.platformFaults(tc.faults)
			if tc.lift > 0 {
				time.Sleep(tc.lift)
				c.platformFaults(nil)
			}
			c.checkActions(t, sillstandplatform.ActionStart)
			eventually(t, "the started instance serves", func() bool {
				c.send(c.gateways[0], booking(`{"room":1}`))
				return len(c.record(c.targets[2], "")) > 0
			})
		})
	}
}

// awaitEachTarget sends bookings until both targets at work have run one, so that the
// gateway is connected to them. It returns how many calls each has run.
func (c *cluster) awaitEachTarget(t *testing.T) map[*target]int {
	t.Helper()
	before := make(map[*target]int)
	eventually(t, "the gateway is connected to both targets", func() bool {
		checkStatus(t, c.send(c.gateways[0], booking(`{"room":1}`)), http.StatusCreated)
		for _, tg := range c.targets[:2] {
			before[tg] = len(c.record(tg, ""))
		}
		return before[c.targets[0]] > 0 && before[c.targets[1]] > 0
	})
	return before
}

// TestStopDrainsFirst stops a target that runs a long booking: the order comes
// only after the booking's answer.
func TestStopDrainsFirst(t *testing.T) {
	c := scaleCluster(t)
	before := c.awaitEachTarget(t)
	c.slowBookings(8 * time.Second)
	var answers []chan answer
	for range 8 {
		answers = append(answers, c.later(c.gateways[0], booking(`{"room":7}`)))
	}
	time.Sleep(time.Second)
	c.bound(1, 4)
	eventually(t, "a target drains", func() bool {
		for _, tg := range c.targets[:2] {
			if resp, err := http.Get(tg.metric + "/readyz"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					return true
				}
			}
		}
		return false
	})
	if n := len(c.platformRecord().Orders); n > 0 {
		t.Errorf("%d orders while the target drains", n)
	}
	var last time.Time
	for _, done := range answers {
		if a := await(t, done); a.status/100 != 2 {
			t.Errorf("a booking was cut: status %d (%v): %s", a.status, a.err, a.body)
		}
		last = time.Now()
	}
	for _, tg := range c.targets[:2] {
		if len(c.record(tg, ""))-before[tg] < 2 {
			t.Errorf("%s ran no booking", tg.id)
		}
	}
	for _, o := range c.checkActions(t, sillstandplatform.ActionStop) {
		if at := time.UnixMilli(o.At); at.Before(last.Add(-time.Second)) {
			t.Errorf("stopped at %v, before the last answer at %v", at, last)
		}
	}
}

func TestTargetThatIsStoppedGetsNoMoreBookings(t *testing.T) {
	c := scaleCluster(t)
	c.awaitEachTarget(t)
	stop := c.steadyBookings(c.gateways[0], 1, 250*time.Millisecond)
	c.bound(1, 4)
	var order sillstandplatform.Order
	eventually(t, "a target is stopped", func() bool {
		for _, o := range c.platformRecord().Orders {
			if o.Action == sillstandplatform.ActionStop {
				order = o
				return true
			}
		}
		return false
	})
	for _, tg := range c.targets {
		if tg.instance.InstanceID == order.InstanceID {
			tg.agent.kill()
		}
	}
	time.Sleep(2 * time.Second)
	c.checkBookings(t, stop())
}
