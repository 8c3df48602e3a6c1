package sillprocess

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

// steadyBookings sends bookings with a body each of their own until stop, which
// returns their answers by body.
func (c *cluster) steadyBookings(g *gateway, callers int) (stop func() map[string]answer) {
	var mu sync.Mutex
	answers := make(map[string]answer)
	group := sillgroup.New(context.Background())
	for i := range callers {
		group.Go(func(ctx context.Context) {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf(`{"gateway":%q,"caller":%d,"number":%d}`, g.callers, i, n)
				a := c.send(g, booking(body))
				mu.Lock()
				answers[body] = a
				mu.Unlock()
				time.Sleep(time.Millisecond)
			}
		})
	}
	return func() map[string]answer {
		group.Stop()
		return answers
	}
}

// checkBookings fails unless each booking was confirmed and ran once.
func (c *cluster) checkBookings(t *testing.T, answers map[string]answer) {
	t.Helper()
	runs := make(map[string]int)
	for _, tg := range c.targets {
		for _, r := range c.record(tg, "") {
			call, _ := r["seen"].(map[string]any)
			body, _ := call["body"].(string)
			runs[body]++
		}
	}
	for body, a := range answers {
		if a.err != nil || a.status != http.StatusCreated || runs[body] != 1 {
			t.Errorf("booking %s: status %d (%v), ran %d times; body %s", body, a.status, a.err, runs[body], a.body)
		}
	}
}

// drain drains a target as an operator does.
func (c *cluster) drain(g *gateway, tg *target) {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, g.admin+"/admin/v1/targets/"+string(tg.id)+"/drain", http.NoBody)
	check(c.t, err)
	req.Header.Set("Authorization", "Bearer "+c.admin)
	resp, err := http.DefaultClient.Do(req)
	check(c.t, err)
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		c.t.Fatalf("drain of %s: status %d", tg.id, resp.StatusCode)
	}
}

func TestDrainRefusesNoBooking(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 2, gateways: 1})
	c.awaitServing()
	stop := c.steadyBookings(c.gateways[0], 64)
	time.Sleep(time.Second)
	c.drain(c.gateways[0], c.targets[0])
	time.Sleep(2 * time.Second)
	c.checkBookings(t, stop())
}

func TestAgentStopLosesNoBookingOnItsWay(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 2, gateways: 1})
	c.awaitServing()
	stop := c.steadyBookings(c.gateways[0], 8)
	time.Sleep(time.Second)
	c.targets[0].agent.terminate(t)
	time.Sleep(4 * time.Second)
	c.checkBookings(t, stop())
}

func TestAgentRestartsInSeriesLoseNoBooking(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 3, gateways: 2})
	c.awaitServing()
	stops := []func() map[string]answer{c.steadyBookings(c.gateways[0], 4), c.steadyBookings(c.gateways[1], 4)}
	for _, tg := range c.targets {
		tg.agent.terminate(t)
		c.startAgent(tg)
		for _, g := range c.gateways {
			c.awaitTargets(g, len(c.targets))
		}
	}
	for _, stop := range stops {
		c.checkBookings(t, stop())
	}
}

func TestStopBeyondTheDrainLimitTellsItsCallers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 1, gateways: 1, tuneAgent: func(s *sillsettings.Agent) { s.Control.DrainLimit = 1 }})
	c.awaitServing()
	c.slowBookings(40 * time.Second)
	done := c.later(c.gateways[0], booking(`{"room":1}`))
	time.Sleep(300 * time.Millisecond)
	agent := c.targets[0].agent
	agent.signal(syscall.SIGTERM)
	checkKind(t, await(t, done), http.StatusServiceUnavailable, "draining", "outcome-unknown")
	agent.terminate(t)
	if strings.Contains(agent.log.String(), "deadline exceeded") {
		t.Errorf("the agent was cut off in its stop: %s", agent.log)
	}
}

func TestGatewayThatCutsRequestsStillEndsItsTasks(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 1, gateways: 1, tune: func(s *sillsettings.Gateway) {
		s.Control.StopNotice = 0
		s.Control.DrainLimit = 1
	}})
	c.awaitServing()
	checkPresent(t, c, 1)
	c.slowBookings(40 * time.Second)
	c.later(c.gateways[0], booking(`{"room":1}`))
	time.Sleep(300 * time.Millisecond)
	c.gateways[0].process.terminate(t)
	checkPresent(t, c, 0)
}

// checkPresent fails unless that many gateways have a row in the table.
func checkPresent(t *testing.T, c *cluster, want int) {
	t.Helper()
	rows, err := c.table().ListAll(context.Background(), "gateway/")
	check(t, err)
	if len(rows) != want {
		t.Errorf("%d gateways have a row, want %d", len(rows), want)
	}
}
