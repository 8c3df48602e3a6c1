package silljob

import (
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The load that moves answer: a few long texts decide when a job is done, and
// some of them run at engines that turned slow. A text goes on at another engine
// after its last event; only its prompt and its events are read again.

const (
	// minMigrationSpeedup is how many times longer the rest of a text must take here than
	// at a usual target.
	minMigrationSpeedup = 1.6
	// minMigrationSaving is the least time that a move must save.
	minMigrationSaving = 400 * time.Millisecond
	// minRemainingEvents is the least number of events that is expected of a text's rest.
	minRemainingEvents = 10
)

// remainingEvents estimates the number of events that are still to come: texts have long
// tails, so one that is long already is likely to go on.
func remainingEvents(events int) int { return max(events/2, minRemainingEvents) }

// shouldMigrate returns whether a text with so many events should leave a target.
func shouldMigrate(events int, here, usual time.Duration) bool {
	if here == 0 || usual == 0 || float64(here) < minMigrationSpeedup*float64(usual) {
		return false
	}
	return time.Duration(remainingEvents(events))*(here-usual) >= minMigrationSaving
}

// migrateSlowItems ends the attempts of items that would be done sooner elsewhere, as
// long as faster targets have free slots.
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

func (r *Runner) migrateIfSlow(now time.Time, it *itemRun, free map[requirements]int) {
	here, usual := r.cfg.Directory.UnitLatency(it.target), r.cfg.Directory.MeanUnitLatency(it.job.pool)
	if !shouldMigrate(len(it.events), here, usual) {
		return
	}
	key := requirementsOf(it)
	if _, known := free[key]; !known {
		q := r.query(it)
		q.MaxUnitLatency = time.Duration(float64(here) / minMigrationSpeedup)
		free[key] = r.cfg.Directory.FreeSlots(now, q)
	}
	if free[key] <= 0 {
		return
	}
	free[key]--
	r.cfg.Metrics.moves.Inc()
	r.cfg.Log.Warn("Moving an item.", zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
		zap.String("target", string(it.target)), zap.Int("events", len(it.events)),
		zap.Duration("pace", here), zap.Duration("usual-pace", usual))
	if it.avoid == nil {
		it.avoid = make(map[sillid.TargetID]bool)
	}
	it.avoid[it.target] = true
	it.cancelAttempt()
	it.cancelAttempt = nil
}
