package silljob

import (
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Slow items migrate to faster targets. A few long generations decide when a job is
// done, and some of them run at engines that have become slow. The new engine
// resumes after the last event; it only has to prefill the prompt and the events
// again. In pools whose targets report how long work takes, the time left at the target is
// compared with that at the fastest other one with a free slot; elsewhere, the target with the
// mean of its pool.

const (
	// minMigrationSpeedup is the least ratio of the target's unit latency to the
	// mean of the pool at which an item migrates.
	minMigrationSpeedup = 1.6
	// minMovingCost is the least time that a migration costs: a connection and a prefill.
	minMovingCost = 100 * time.Millisecond
	// firstEventWeight is the weight of one attempt in the average time to the first event.
	firstEventWeight = 0.1
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
	return time.Duration(remainingEvents(events))*(unitLatency-mean) >= silltarget.MinMoveSaving
}

// migrateSlowItems cancels the attempts of items that would be done sooner at another
// target, as long as faster targets have free slots. The items are then dispatched
// again.
func (r *Runner) migrateSlowItems(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	free, taken := make(map[requirements]int), make(map[sillid.TargetID]int)
	for _, j := range r.jobs {
		for _, it := range j.items {
			switch {
			case it.phase != running || it.cancelAttempt == nil || len(it.events) == 0:
			case r.cfg.Directory.ReportsSpeed(j.pool):
				r.migrateIfFaster(now, it, taken)
			default:
				r.migrateIfSlow(now, it, free)
			}
		}
	}
}

// migrateIfFaster migrates one item if it is finished sooner at another target. taken counts the
// slots that this pass uses.
func (r *Runner) migrateIfFaster(now time.Time, it *itemRun, taken map[sillid.TargetID]int) {
	q := r.query(now, it)
	q.WorkTime = r.expectedWork(it)
	m, ok := r.cfg.Directory.FindMove(now, it.target, q, remainingEvents(len(it.events)), taken)
	if !ok {
		return
	}
	taken[m.To]++
	r.migrate(it, zap.String("to", string(m.To)), zap.Duration("left", m.Here), zap.Duration("left-there", m.There), zap.Duration("cost", q.MovingCost))
}

// movingCost returns the expected time that a migration costs: that to the first event of an attempt.
func (r *Runner) movingCost() time.Duration { return max(r.firstEventTime, minMovingCost) }

// recordFirstEvent records the time to the first event of an attempt.
func (r *Runner) recordFirstEvent(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstEventTime == 0 {
		r.firstEventTime = took
		return
	}
	r.firstEventTime += time.Duration(firstEventWeight * float64(took-r.firstEventTime))
}

// migrateIfSlow migrates one item if that pays off. free caches the number of free
// slots at faster targets and counts the slots that this pass uses.
func (r *Runner) migrateIfSlow(now time.Time, it *itemRun, free map[requirements]int) {
	unitLatency, mean := r.cfg.Directory.UnitLatencies(it.target)
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
	r.migrate(it, zap.Duration("pace", unitLatency), zap.Duration("usual-pace", mean))
}

// migrate cancels the attempt of an item, which is then dispatched again. reason holds what decided it.
func (r *Runner) migrate(it *itemRun, reason ...zap.Field) {
	r.cfg.Metrics.migrations.Inc()
	r.cfg.Log.With(reason...).Warn("Moving an item.", zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
		zap.String("target", string(it.target)), zap.Int("events", len(it.events)))
	it.avoid = silltarget.Excluding(it.avoid, it.target)
	it.cancelAttempt()
	it.cancelAttempt = nil
}
