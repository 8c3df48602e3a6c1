package silljob

import (
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// Slow items migrate to faster targets. A few long generations decide when a job is
// done, and some of them run at engines that have become slow. The new engine
// resumes after the last event; it only has to prefill the prompt and the events
// again.

const (
	// minMigrationSpeedup is the least ratio of the target's unit latency to the
	// mean of the pool at which an item migrates.
	minMigrationSpeedup = 1.6
	// minMigrationSaving is the least estimated time that a migration must save.
	minMigrationSaving = 400 * time.Millisecond
	// minRemainingEvents is the lower bound of the estimate of remaining events.
	minRemainingEvents = 10
)

// remainingEvents estimates how many more events a generation will have. The estimate
// grows with the events so far because the distribution of lengths has a long tail.
func remainingEvents(events int) int { return max(events/2, minRemainingEvents) }

// shouldMigrate returns whether a generation with the given number of events should
// leave its target, from the target's unit latency and the mean of its pool. A
// latency of 0 is unknown.
func shouldMigrate(events int, unitLatency, mean time.Duration) bool {
	if unitLatency == 0 || mean == 0 || float64(unitLatency) < minMigrationSpeedup*float64(mean) {
		return false
	}
	return time.Duration(remainingEvents(events))*(unitLatency-mean) >= minMigrationSaving
}

// migrateSlowItems cancels the attempts of items that would be done sooner at another
// target, as long as faster targets have free slots. The items are then dispatched
// again.
func (r *Runner) migrateSlowItems(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := make(map[requirements]int)
	for _, j := range r.jobs {
		for _, it := range j.items {
			if it.phase == running && it.cancelAttempt != nil && len(it.events) > 0 {
				r.migrateIfSlow(now, it, free)
			}
		}
	}
}

// migrateIfSlow migrates one item if that pays off. free caches the number of free
// slots at faster targets and counts the slots that this pass uses.
func (r *Runner) migrateIfSlow(now time.Time, it *itemRun, free map[requirements]int) {
	unitLatency, mean := r.cfg.Directory.UnitLatencies(now, it.target, remainingEvents(len(it.events)))
	if !shouldMigrate(len(it.events), unitLatency, mean) {
		return
	}
	required := requirementsOf(it)
	if _, known := free[required]; !known {
		q := r.query(now, it)
		q.MaxUnitLatency = time.Duration(float64(unitLatency) / minMigrationSpeedup)
		free[required] = r.cfg.Directory.FreeSlots(now, q)
	}
	if free[required] <= 0 {
		return
	}
	free[required]--
	r.cfg.Metrics.migrations.Inc()
	r.cfg.Log.Warn("Moving an item.", zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
		zap.String("target", string(it.target)), zap.Int("events", len(it.events)),
		zap.Duration("pace", unitLatency), zap.Duration("usual-pace", mean))
	it.avoid = silltarget.Excluding(it.avoid, it.target)
	it.cancelAttempt()
	it.cancelAttempt = nil
}
