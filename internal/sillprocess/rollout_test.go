package sillprocess

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
)

// TestSampleSpansAreTheEngines checks each delivered sample, token by token,
// while parts fail under its generation.
func TestSampleSpansAreTheEngines(t *testing.T) {
	for _, tc := range []struct {
		name string
		// fail is called while tg generates.
		fail func(c *cluster, tg *target)
		// recordLost is true if the record of an engine is gone.
		recordLost bool
		// reason is what owners must have discarded generations for; empty for none.
		reason sillattribution.Reason
	}{
		{name: "calm", fail: func(*cluster, *target) {}},
		{name: "engine killed", fail: func(_ *cluster, tg *target) { tg.standin.kill() }, recordLost: true},
		{name: "engine restarted unseen", fail: func(_ *cluster, tg *target) { tg.crash() }},
		{name: "agent killed", fail: func(_ *cluster, tg *target) { tg.agent.kill() }},
		{name: "connection silent both ways", fail: func(_ *cluster, tg *target) { tg.relay.silence(true, true) }},
		{name: "connection silent towards the gateway", fail: func(_ *cluster, tg *target) { tg.relay.silence(false, true) }},
		{
			name: "swap behind the agents' backs", reason: sillattribution.VersionUnordered,
			fail: func(c *cluster, _ *target) { c.swapUnordered(firstVersion + 1) },
		},
		{
			name: "swap behind the agents' backs, load reported late", reason: sillattribution.VersionUnordered,
			fail: func(c *cluster, _ *target) {
				for _, tg := range c.targets {
					c.faults(tg, "load", map[string]any{"late-ms": 3000})
				}
				c.swapUnordered(firstVersion + 1)
			},
		},
		{
			name: "swap and restart at once",
			fail: func(c *cluster, tg *target) {
				c.swapUnordered(firstVersion + 1)
				tg.crash()
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newRolloutCluster(t, 1)
			tr := c.submit(t, "trainer")
			tg := c.busy("cue-lm")
			time.Sleep(300 * time.Millisecond)
			tc.fail(c, tg)
			tr.finish()
			if !tc.recordLost {
				tr.checkRecords()
			}
			if tc.reason != "" && c.discarded(tc.reason) == 0 {
				t.Errorf("no generation was discarded as %s", tc.reason)
			}
		})
	}
}

// TestNoSampleOverTheBound moves the trainer's version beyond the bound; each
// first delivery is held against the version at that moment.
func TestNoSampleOverTheBound(t *testing.T) {
	const later = firstVersion + trainerBound + 1
	for _, tc := range []struct {
		name string
		// await waits for the moment at which the version moves.
		await func(c *cluster, tr *trainer)
	}{
		{"while samples are generated", func(c *cluster, _ *trainer) { c.busy("cue-lm") }},
		{"before the first delivery", func(_ *cluster, tr *trainer) { tr.awaitFormed(1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newRolloutCluster(t, 1)
			tr := c.submit(t, "trainer")
			tc.await(c, tr)
			tr.publish(later)
			// The samples under way finish with the first version.
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); {
				tr.fetch()
			}
			c.swapUnordered(later)
			tr.finish()
			tr.checkRecords()
		})
	}
}

// TestEachSampleOnce takes a batch while gateways die, answers are lost and
// stores are away.
func TestEachSampleOnce(t *testing.T) {
	table := func(c *cluster, faults map[string]any) {
		c.control(c.platformURL+"/standin/faults", map[string]any{"table": faults})
	}
	killOwner := func(c *cluster, _ *trainer) { c.owner().process.kill() }
	for _, tc := range []struct {
		name string
		fail func(c *cluster, tr *trainer)
	}{
		{"owner killed while generating", func(c *cluster, tr *trainer) {
			c.busy("cue-lm")
			killOwner(c, tr)
		}},
		{"owner killed after a delivery was formed", func(c *cluster, tr *trainer) {
			tr.awaitFormed(1)
			killOwner(c, tr)
		}},
		{"owner killed between delivery and acknowledgement", func(c *cluster, tr *trainer) {
			tr.awaitFormed(1)
			tr.fetch()
			killOwner(c, tr)
		}},
		{"owner frozen and thawed", func(c *cluster, _ *trainer) {
			g := c.owner()
			g.process.freeze()
			time.Sleep(2 * leaseSeconds * time.Second)
			g.process.thaw()
		}},
		{"trainer restarted before it acknowledged", func(_ *cluster, tr *trainer) {
			tr.awaitFormed(1)
			tr.fetch()
			tr.fetch()
		}},
		{"answer with the delivery lost", func(_ *cluster, tr *trainer) {
			tr.awaitFormed(1)
			tr.call(tr.samplesCall())
		}},
		{"answers of the table lost", func(c *cluster, _ *trainer) {
			for range 200 {
				table(c, map[string]any{"answer-lost-next": 1})
				time.Sleep(30 * time.Millisecond)
			}
		}},
		{"answers of the object store lost", func(c *cluster, _ *trainer) {
			c.control(c.platformURL+"/standin/faults", map[string]any{"objects": map[string]any{"answer-lost-next": 4}})
		}},
		{"table away for 5 s", func(c *cluster, _ *trainer) {
			c.busy("cue-lm")
			table(c, map[string]any{"down": true})
			time.Sleep(5 * time.Second)
			table(c, nil)
		}},
		{"scorer away for 4 s", func(c *cluster, _ *trainer) {
			c.control(c.scorerURL+"/standin/faults", map[string]any{"score": map[string]any{"down": true}})
			time.Sleep(4 * time.Second)
			c.control(c.scorerURL+"/standin/faults", map[string]any{})
		}},
		{"scorer slow", func(c *cluster, _ *trainer) {
			c.control(c.scorerURL+"/standin/faults", map[string]any{"score": map[string]any{"slow-ms": 1500}})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newRolloutCluster(t, 2)
			tr := c.submit(t, "trainer")
			tc.fail(c, tr)
			tr.finish()
			tr.checkRecords()
		})
	}
}

func TestTwoTrainersAtOnce(t *testing.T) {
	t.Parallel()
	c := newRolloutCluster(t, 2)
	first, second := c.submit(t, "trainer"), c.submit(t, "second")
	finishAll(t, first, second)
	first.checkRecords()
	second.checkRecords()
}
