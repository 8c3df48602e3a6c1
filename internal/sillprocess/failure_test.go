package sillprocess

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

// later sends a request in the background.
func (c *cluster) later(g *gateway, r request) chan answer {
	done := make(chan answer, 1)
	sillgroup.New(context.Background()).Go(func(context.Context) { done <- c.send(g, r) })
	return done
}

// await returns the answer of a request that was sent in the background.
func await(t *testing.T, done chan answer) answer {
	t.Helper()
	select {
	case a := <-done:
		return a
	case <-time.After(waitLimit):
		t.Fatal("no answer")
		return answer{}
	}
}

// faults sets the faults of a stand-in.
func (c *cluster) faults(tg *target, area string, faults map[string]any) {
	c.t.Helper()
	c.control(tg.url+"/standin/faults", map[string]any{area: faults})
}

// slowBookings makes bookings wait at every service before they take effect.
func (c *cluster) slowBookings(wait time.Duration) {
	c.t.Helper()
	for _, tg := range c.targets {
		if tg.pool == "slot-desk" {
			c.faults(tg, "bookings", map[string]any{"slow-ms": wait.Milliseconds()})
		}
	}
}

// busy returns the target of a pool that runs something, once there is one.
func (c *cluster) busy(pool string) *target {
	c.t.Helper()
	var found *target
	eventually(c.t, "a target of "+pool+" runs a request", func() bool {
		for _, tg := range c.targets {
			if string(tg.pool) == pool && c.running(tg) > 0 {
				found = tg
				return true
			}
		}
		return false
	})
	return found
}

// running returns the number of unfinished runs of an engine.
func (c *cluster) running(tg *target) int {
	count := 0
	for _, r := range c.record(tg, "") {
		if complete, ok := r["complete"].(bool); ok && !complete {
			if end, _ := r["end"].(float64); end == 0 {
				count++
			}
		}
	}
	return count
}

// crash makes the stand-in lose everything that runs; its record stays.
func (tg *target) crash() {
	// The connection of this call is lost like all others.
	resp, err := http.Post(tg.url+"/standin/crash", "application/json", http.NoBody)
	if err == nil {
		_ = resp.Body.Close()
	}
}

type problem struct {
	Kind    string `json:"kind"`
	Outcome string `json:"outcome"`
}

func problemOf(t *testing.T, a answer) problem {
	t.Helper()
	var p problem
	if err := json.Unmarshal([]byte(a.body), &p); err != nil {
		t.Fatalf("no problem document: %s", a.body)
	}
	return p
}

// checkOnce fails unless a request that is not idempotent ran at most once,
// and as its answer says.
func (c *cluster) checkOnce(t *testing.T, a answer, body string) {
	t.Helper()
	runs := 0
	for _, tg := range c.targets {
		for _, r := range c.record(tg, "") {
			call, _ := r["seen"].(map[string]any)
			if b, _ := call["body"].(string); b == body {
				runs++
			}
		}
	}
	switch {
	case runs > 1:
		t.Errorf("the booking ran %d times", runs)
	case a.err == nil && a.status/100 == 2 && runs != 1:
		t.Errorf("the booking was confirmed and ran %d times", runs)
	case a.err == nil && a.status/100 != 2 && problemOf(t, a).Outcome == "not-run" && runs != 0:
		t.Errorf("the booking was refused as not run and ran %d times", runs)
	}
}

func text(t *testing.T, a answer) string {
	t.Helper()
	var d struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(a.body), &d); err != nil || len(d.Choices) != 1 {
		t.Fatalf("no completion: %s", a.body)
	}
	return d.Choices[0].Text
}

func TestGenerationSurvivesItsTarget(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(c *cluster, tg *target)
	}{
		{"agent killed", func(_ *cluster, tg *target) { tg.agent.kill() }},
		{"agent frozen", func(_ *cluster, tg *target) { tg.agent.freeze() }},
		{"engine killed", func(_ *cluster, tg *target) { tg.standin.kill() }},
		{"connection silent towards the agent", func(_ *cluster, tg *target) { tg.relay.silence(true, false) }},
		{"connection silent towards the gateway", func(_ *cluster, tg *target) { tg.relay.silence(false, true) }},
		{"connection silent both ways", func(_ *cluster, tg *target) { tg.relay.silence(true, true) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size{engines: 2, gateways: 1, relays: true, engineArgs: []string{"--tokens-per-second", "40"}})
			c.awaitServing()
			g := c.gateways[0]
			want := c.send(g, completion("carry on", 120))
			checkStatus(t, want, http.StatusOK)
			done := c.later(g, completion("carry on", 120))
			tg := c.busy("cue-lm")
			time.Sleep(500 * time.Millisecond)
			tc.fail(c, tg)
			got := await(t, done)
			checkStatus(t, got, http.StatusOK)
			if text(t, got) != text(t, want) {
				t.Errorf("answer differs after the failure:\n got %q\nwant %q", text(t, got), text(t, want))
			}
		})
	}
}

func TestBookingRunsAtMostOnce(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail func(c *cluster, tg *target)
		// confirmed is true if the caller must get its confirmation all the same.
		confirmed bool
	}{
		{"agent killed", func(_ *cluster, tg *target) { tg.agent.kill() }, false},
		{"agent frozen and thawed", func(_ *cluster, tg *target) {
			tg.agent.freeze()
			time.Sleep(4 * time.Second)
			tg.agent.thaw()
		}, true},
		{"service crashed", func(_ *cluster, tg *target) { tg.crash() }, false},
		{"connection silent towards the agent", func(_ *cluster, tg *target) { tg.relay.silence(true, false) }, true},
		{"connection silent towards the gateway", func(_ *cluster, tg *target) { tg.relay.silence(false, true) }, true},
		{"connection silent both ways", func(_ *cluster, tg *target) { tg.relay.silence(true, true) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size{services: 1, gateways: 1, relays: true})
			c.awaitServing()
			c.slowBookings(1500 * time.Millisecond)
			const body = `{"room":7}`
			done := c.later(c.gateways[0], booking(body))
			time.Sleep(500 * time.Millisecond)
			tc.fail(c, c.targets[0])
			a := await(t, done)
			if tc.confirmed && (a.err != nil || a.status/100 != 2) {
				t.Errorf("status %d (%v), want a confirmation; body %s", a.status, a.err, a.body)
			}
			time.Sleep(1500 * time.Millisecond)
			c.checkOnce(t, a, body)
		})
	}
}

func TestStopCutsNoRequest(t *testing.T) {
	for _, tc := range []struct {
		name string
		stop func(c *cluster) *process
	}{
		{"agent", func(c *cluster) *process { return c.targets[0].agent }},
		{"gateway", func(c *cluster) *process { return c.gateways[0].process }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size{services: 1, gateways: 1, tune: func(s *sillsettings.Gateway) { s.Control.StopNotice = 1 }})
			c.awaitServing()
			c.slowBookings(time.Second)
			done := c.later(c.gateways[0], booking(`{"room":1}`))
			time.Sleep(300 * time.Millisecond)
			p := tc.stop(c)
			p.signal(syscall.SIGTERM)
			a := await(t, done)
			if a.err != nil || a.status/100 != 2 {
				t.Errorf("status %d (%v), want a confirmation; body %s", a.status, a.err, a.body)
			}
			p.terminate(t)
		})
	}
}

func TestNoTargetSeesTheKey(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 1, engines: 1, gateways: 1})
	c.awaitServing()
	g := c.gateways[0]
	key := c.keys["hall"]
	for _, tc := range []struct {
		name   string
		r      request
		status int
	}{
		{"header", request{path: "/slot-desk/bookings", body: `{}`, header: map[string]string{"X-Copy": "k=" + key}}, 0},
		{"api key header", request{path: "/slot-desk/bookings", body: `{}`, header: map[string]string{"X-Api-Key": key}}, 0},
		{"cookie", request{path: "/slot-desk/bookings", body: `{}`, header: map[string]string{"Cookie": "a=b; session=" + key}}, 0},
		{"query", request{path: "/slot-desk/bookings?a=1&token=" + key, body: `{}`}, 0},
		{"path", request{path: "/slot-desk/" + key, body: `{}`}, http.StatusBadRequest},
		{"body", request{path: "/slot-desk/bookings", body: `{"note":"` + key + `"}`}, http.StatusBadRequest},
		{"prompt", request{path: "/cue-lm/v1/completions", body: `{"prompt":"` + key + `"}`}, http.StatusBadRequest},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.r.organisation = "hall"
			a := c.send(g, tc.r)
			if tc.status != 0 {
				checkStatus(t, a, tc.status)
			}
		})
	}
	for _, tg := range c.targets {
		b, err := json.Marshal(c.record(tg, ""))
		check(t, err)
		if strings.Contains(string(b), key) {
			t.Errorf("%s has seen the key", tg.id)
		}
	}
	for _, p := range []*process{g.process, c.targets[0].agent, c.targets[1].agent} {
		if strings.Contains(p.log.String(), key) {
			t.Error("a log holds the key")
		}
	}
}

func TestDeadTargetListedLiveGetsNoTraffic(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 2, gateways: 1})
	c.awaitServing()
	c.targets[0].agent.kill()
	c.targets[0].standin.kill()
	for i := range 40 {
		a := c.send(c.gateways[0], request{organisation: "hall", method: http.MethodGet, path: "/slot-desk/availability"})
		checkStatus(t, a, http.StatusOK)
		if i == 0 {
			time.Sleep(4 * time.Second)
		}
	}
}

func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 2, gateways: 1})
	c.awaitServing()
	leaving := c.targets[0]
	leaving.instance.State = "leaving"
	c.list()
	time.Sleep(7 * time.Second)
	before := len(c.record(leaving, ""))
	for range 20 {
		checkStatus(t, c.send(c.gateways[0], request{organisation: "hall", method: http.MethodGet, path: "/slot-desk/availability"}), http.StatusOK)
	}
	if after := len(c.record(leaving, "")); after != before {
		t.Errorf("the leaving target got %d requests", after-before)
	}
}
