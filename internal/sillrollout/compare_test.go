package sillrollout

import (
	"sync"
	"testing"
	"time"
)

const (
	// goalIdleRatio is the maximum idle share of the trainers under the default
	// policy, relative to the baseline: first-come-first-served without prediction.
	goalIdleRatio = 0.7
	// goalStepRatio is the maximum mean step time under faults, relative to that
	// without faults.
	goalStepRatio = 1.3
)

const compareSeeds = 3

// comparePublish returns the times between two versions while a trainer trains.
func comparePublish() []time.Duration { return []time.Duration{120 * time.Second, 150 * time.Second} }

// compareCase is one way to schedule the trainers' batches.
type compareCase struct {
	name string
	cfg  simConfig
}

// compareCases returns the baseline, the default policy, and the alternatives that
// did worse than the default policy.
func compareCases() (baseline, chosen compareCase, others []compareCase) {
	longest := Policy{LongestFirst: true, HoldPredictedStale: true}
	second, migrate := longest, longest
	second.Straggler, migrate.Straggler = StragglerSecondAttempt, StragglerMigrate
	baseline = compareCase{"first-come-first-served", simConfig{share: "fcfs"}}
	chosen = compareCase{"chosen", simConfig{share: "floor", policy: DefaultPolicy()}}
	others = []compareCase{
		{"equal shares", simConfig{policy: longest}},
		{"held back only", simConfig{share: "fcfs", policy: Policy{HoldPredictedStale: true}}},
		{"second run", simConfig{share: "floor", policy: second}},
		{"migration to one kept target", simConfig{share: "floor", longEngines: 1, longEngineSlots: 16, policy: migrate}},
	}
	return baseline, chosen, others
}

// compareSum adds up the results of the simulations of one case.
type compareSum struct {
	runs                             int
	idle, step, stale, repeatedShare float64
	stepMax                          time.Duration
	staleMax                         int
	overBound, deliveredTwice, lost  int
}

func (c *compareSum) add(r simResult) {
	c.runs++
	c.idle += r.idle
	c.step += r.stepMean.Seconds()
	c.stale += r.staleMean
	c.repeatedShare += r.repeatedShare
	c.stepMax = max(c.stepMax, r.stepMax)
	c.staleMax = max(c.staleMax, r.staleMax)
	c.overBound += r.overBound
	c.deliveredTwice += r.deliveredTwice
	c.lost += r.lost
}

func (c *compareSum) mean(sum float64) float64 { return sum / float64(c.runs) }

func runCase(cfg simConfig, faults bool) *compareSum {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sum := &compareSum{}
	for _, publish := range comparePublish() {
		for seed := range int64(compareSeeds) {
			cfg.seed, cfg.faults, cfg.train, cfg.publish = seed+1, faults, simTrainTime, publish
			run := newSim(cfg)
			wg.Go(func() {
				r := run.run()
				mu.Lock()
				defer mu.Unlock()
				sum.add(r)
			})
		}
	}
	wg.Wait()
	return sum
}

func logCase(t *testing.T, name string, c *compareSum) {
	t.Helper()
	t.Logf("%-28s idle share %.3f, staleness mean %.2f max %d, step mean %.0f s max %.0f s, repeated tokens %.1f %%",
		name, c.mean(c.idle), c.mean(c.stale), c.staleMax, c.mean(c.step), c.stepMax.Seconds(), 100*c.mean(c.repeatedShare))
}

func wantSound(t *testing.T, c *compareSum) {
	t.Helper()
	if c.overBound+c.deliveredTwice+c.lost > 0 || c.staleMax > simBound {
		t.Errorf("%d samples over the bound, %d delivered twice, %d lost, want none", c.overBound, c.deliveredTwice, c.lost)
	}
}

func wantAtMost(t *testing.T, what string, got, limit float64) {
	t.Helper()
	if got > limit {
		t.Errorf("%s = %.3f, want at most %.3f", what, got, limit)
	}
}

// TestGoals compares the default policy with the baseline on the same generation
// lengths, without and with faults.
func TestGoals(t *testing.T) {
	baseline, chosen, _ := compareCases()
	before, after := runCase(baseline.cfg, false), runCase(chosen.cfg, false)
	beforeFaults, afterFaults := runCase(baseline.cfg, true), runCase(chosen.cfg, true)
	logCase(t, baseline.name, before)
	logCase(t, chosen.name, after)
	logCase(t, baseline.name+", faults", beforeFaults)
	logCase(t, chosen.name+", faults", afterFaults)
	t.Run("sound", func(t *testing.T) { wantSound(t, after) })
	t.Run("sound under faults", func(t *testing.T) { wantSound(t, afterFaults) })
	t.Run("idle", func(t *testing.T) {
		wantAtMost(t, "idle share by the baseline's", after.idle/before.idle, goalIdleRatio)
	})
	t.Run("idle under faults", func(t *testing.T) {
		wantAtMost(t, "idle share by the baseline's", afterFaults.idle/beforeFaults.idle, goalIdleRatio)
	})
	t.Run("step under faults", func(t *testing.T) {
		wantAtMost(t, "mean step by the calm one", afterFaults.step/after.step, goalStepRatio)
	})
}

// BenchmarkPolicies reports the figures of the alternatives to the default policy.
func BenchmarkPolicies(b *testing.B) {
	_, _, others := compareCases()
	for _, c := range others {
		for _, faults := range []bool{false, true} {
			name := c.name
			if faults {
				name += ", faults"
			}
			b.Run(name, func(b *testing.B) {
				for range b.N {
					sum := runCase(c.cfg, faults)
					b.ReportMetric(sum.mean(sum.idle), "idle-share")
					b.ReportMetric(sum.mean(sum.step), "s/step")
					b.ReportMetric(100*sum.mean(sum.repeatedShare), "%repeated")
				}
			})
		}
	}
}

// BenchmarkNext measures one call of Next for a batch of 2,048 samples.
func BenchmarkNext(b *testing.B) {
	s := newSim(simConfig{seed: 1, publish: time.Minute, train: simTrainTime})
	batch := s.trainers[0].batch
	batch.SetLimit(simEngines * simSlots)
	batch.Next(s.now)
	for b.Loop() {
		batch.Next(s.now)
	}
}
