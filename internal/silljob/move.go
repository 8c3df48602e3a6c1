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
	// moveGain is how many times longer the rest of a text must take here than
	// at a usual target.
	moveGain = 1.6
	// moveSaving is the least time that a move must save.
	moveSaving = 400 * time.Millisecond
	// leastRest is the least number of events that is expected of a text's rest.
	leastRest = 10
)

// restOf estimates the number of events that are still to come: texts have long
// tails, so one that is long already is likely to go on.
func restOf(events int) int { return max(events/2, leastRest) }

// worthMoving returns whether a text with so many events should leave a target.
func worthMoving(events int, here, usual time.Duration) bool {
	if here == 0 || usual == 0 || float64(here) < moveGain*float64(usual) {
		return false
	}
	return time.Duration(restOf(events))*(here-usual) >= moveSaving
}

// moveSlow ends the attempts of items that would be done sooner elsewhere, as
// long as faster targets have free slots.
func (r *Runner) moveSlow(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	free := make(map[demandKey]int)
	for _, j := range r.jobs {
		for _, it := range j.items {
			if it.phase == running && it.stop != nil && len(it.events) > 0 {
				r.moveIfSlow(now, it, free)
			}
		}
	}
}

func (r *Runner) moveIfSlow(now time.Time, it *itemRun, free map[demandKey]int) {
	here, usual := r.cfg.Directory.UnitLatency(it.target), r.cfg.Directory.MeanUnitLatency(it.job.pool)
	if !worthMoving(len(it.events), here, usual) {
		return
	}
	key := keyOf(it)
	if _, known := free[key]; !known {
		q := r.query(it)
		q.MaxUnitLatency = time.Duration(float64(here) / moveGain)
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
	it.stop()
	it.stop = nil
}
