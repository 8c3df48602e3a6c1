package sillprocess

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
)

// figures are what was served, or what was reported.
type figures struct {
	requests, prompt, completion int64
}

// served sums what the engines' records hold.
func (c *cluster) served() figures {
	var f figures
	for _, tg := range c.targets {
		for _, run := range c.record(tg, "") {
			tokens, _ := run["tokens"].([]any)
			prompt, _ := run["prompt-tokens"].(float64)
			f.requests++
			f.prompt += int64(prompt)
			f.completion += int64(len(tokens))
		}
	}
	return f
}

// reported sums the reports, each window once, and fails if two reports of a
// window differ.
func (c *cluster) reported() figures {
	c.t.Helper()
	var record struct {
		Usage   []sillstandplatform.UsageReport `json:"usage"`
		Windows []sillstandplatform.UsageWindow `json:"usage-windows"`
	}
	c.getJSON(c.platformURL+"/standin/record", &record)
	for _, w := range record.Windows {
		if w.Differing {
			c.t.Fatalf("two reports of the window %d of %s differ", w.WindowStart, w.Organisation)
		}
	}
	var f figures
	known := make(map[string]bool)
	for _, u := range record.Usage {
		if known[u.ReportID] {
			continue
		}
		known[u.ReportID] = true
		f.requests += u.Requests
		f.prompt += int64(u.PromptTokens)
		f.completion += int64(u.CompletionTokens)
	}
	return f
}

// checkUsage waits until what is reported is what was served, and looks again
// after two more windows.
func (c *cluster) checkUsage(t *testing.T) {
	t.Helper()
	var got, want figures
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if got, want = c.reported(), c.served(); got == want {
			break
		}
	}
	if got == want {
		time.Sleep(2 * usageWindow)
		got = c.reported()
	}
	if got != want {
		t.Errorf("reported %+v, served %+v", got, want)
	}
}

const usageWindow = 2 * time.Second

// serveSome sends requests of two organisations by every gateway and waits for
// their answers, so that none is under way at the end.
func (c *cluster) serveSome(t *testing.T, count int) {
	t.Helper()
	var w sync.WaitGroup
	for i := range count {
		for _, g := range c.gateways {
			w.Go(func() {
				r := completion(fmt.Sprintf("usage %d", i), 5+i%7)
				if i%2 == 1 {
					r.organisation = "lounge"
				}
				if a := c.send(g, r); a.status != http.StatusOK {
					t.Errorf("status %d (%v): %s", a.status, a.err, a.body)
				}
			})
		}
	}
	w.Wait()
}

// usageHolder returns the gateway that has the lease of the usage task.
func (c *cluster) usageHolder() *gateway {
	c.t.Helper()
	var holder *gateway
	eventually(c.t, "a gateway holds the usage task", func() bool {
		line := fmt.Sprintf(`"lease":"usage","epoch":%d}`, c.epoch("usage"))
		for _, g := range c.gateways {
			if strings.Contains(g.process.log.String(), line) {
				holder = g
			}
		}
		return holder != nil
	})
	return holder
}

func usageCluster(t *testing.T) *cluster {
	c := newCluster(t, size{
		engines: 2, gateways: 2,
		tune: func(s *sillsettings.Gateway) {
			s.Control.Lease = handoverLease
			s.Control.ScaleInterval = 0
			s.Control.UsageWindow = sillsettings.Seconds(usageWindow.Seconds())
			s.Control.UsageGrace = 3
			s.Platform.Timeout = 0.5
		},
		tuneAgent: func(s *sillsettings.Agent) {
			s.Control.UsageWindow = sillsettings.Seconds(usageWindow.Seconds())
			s.Control.UsageFlush = 0.5
			s.Platform.Timeout = 0.5
		},
	})
	c.awaitServing()
	return c
}

// replaceGateway starts another gateway for one that ended.
func (c *cluster) replaceGateway(g *gateway) {
	c.gateways = slices.DeleteFunc(c.gateways, func(other *gateway) bool { return other == g })
	c.addGateway()
	c.awaitServing()
}

// TestUsageIsWhatWasServed disturbs a deployment in many ways. Each time, every
// window is reported with one set of figures, whose sum is what the engines served.
func TestUsageIsWhatWasServed(t *testing.T) {
	c := usageCluster(t)
	duringFault := func(t *testing.T, area string, fault map[string]any) {
		c.serveSome(t, 10)
		c.platformFaults(map[string]any{area: fault})
		for range 4 {
			c.serveSome(t, 10)
			time.Sleep(usageWindow / 2)
		}
		c.platformFaults(nil)
	}
	for _, tc := range []struct {
		name    string
		disturb func(t *testing.T)
	}{
		{"nothing", func(t *testing.T) { c.serveSome(t, 10) }},
		{"agent killed", func(t *testing.T) {
			c.serveSome(t, 20)
			c.targets[0].agent.kill()
			c.startAgent(c.targets[0])
			c.list()
		}},
		{"gateway killed", func(t *testing.T) {
			c.serveSome(t, 20)
			g := c.gateways[1]
			g.process.kill()
			c.replaceGateway(g)
		}},
		{"holder killed", func(t *testing.T) {
			c.serveSome(t, 20)
			g := c.usageHolder()
			g.process.kill()
			c.replaceGateway(g)
		}},
		{"holder frozen past its lease", func(t *testing.T) {
			c.serveSome(t, 20)
			g, before := c.usageHolder(), c.epoch("usage")
			g.process.freeze()
			eventually(t, "another gateway takes the lease", func() bool { return c.epoch("usage") > before })
			time.Sleep(usageWindow)
			g.process.thaw()
			c.awaitServing()
			c.serveSome(t, 10)
		}},
		{"usage interface down", func(t *testing.T) { duringFault(t, "usage", map[string]any{"down": true}) }},
		{"usage interface slow", func(t *testing.T) { duringFault(t, "usage", map[string]any{"slow-ms": 700}) }},
		{"usage answers lost", func(t *testing.T) { duringFault(t, "usage", map[string]any{"answer-lost": true}) }},
		{"table down", func(t *testing.T) { duringFault(t, "table", map[string]any{"down": true}) }},
		{"table answers lost", func(t *testing.T) { duringFault(t, "table", map[string]any{"answer-lost": true}) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.disturb(t)
			c.checkUsage(t)
		})
	}
}

func TestUsageOutlivesAnAgentAndThenItsGateway(t *testing.T) {
	t.Parallel()
	c := usageCluster(t)
	c.serveSome(t, 20)
	for _, tg := range c.targets {
		tg.agent.kill()
	}
	// The gateways notice that the agents are silent, and have not given them up.
	time.Sleep(4 * time.Second)
	for _, g := range c.gateways {
		g.process.signal(syscall.SIGTERM)
	}
	for _, g := range slices.Clone(c.gateways) {
		g.process.terminate(t)
	}
	for _, tg := range c.targets {
		c.startAgent(tg)
	}
	c.list()
	for _, g := range slices.Clone(c.gateways) {
		c.gateways = slices.DeleteFunc(c.gateways, func(other *gateway) bool { return other == g })
		c.addGateway()
	}
	c.awaitServing()
	c.checkUsage(t)
}
