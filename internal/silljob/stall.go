package silljob

import (
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// An attempt that gets no event for a while may be at a stalled engine, or at a slow or
// full one that works through its other generations first. To cut the second costs the
// prompt's prefill and a slot elsewhere, and makes an overload worse. The two are told
// apart by the engine's other generations: it has stalled if none of them moves.

const (
	// firstEventTimeout is the time to the first event after which an engine must
	// be seen to make progress. It is longer than stallTimeout because a weight load may
	// delay that event.
	firstEventTimeout = 2 * time.Second
	// stallTimeout is the time between two events after which an engine must be seen
	// to make progress. Slow engines need a fifth of it.
	stallTimeout = time.Second
	// maxFirstEventWait and maxEventWait bound the time without an event at an engine
	// that makes progress with other generations.
	maxFirstEventWait = 6 * time.Second
	maxEventWait      = 3 * time.Second
	// stallCheckInterval is the time between two checks of an attempt that waits for
	// an engine that makes progress.
	stallCheckInterval = 200 * time.Millisecond
)

// stallWatch cancels an attempt whose engine has stalled.
type stallWatch struct {
	runner *Runner
	item   *itemRun
	target sillid.TargetID
	cancel func()
	// begunAt is when the attempt began.
	begunAt time.Time

	mu sync.Mutex
	// lastEvent is when the last event arrived, or when the attempt began. maxWait is
	// the longest time until the next one.
	lastEvent time.Time
	maxWait   time.Duration
	timer     *time.Timer
	stopped   bool
}

// watchStall starts to watch an attempt. The caller calls stop at its end.
func (r *Runner) watchStall(it *itemRun, target sillid.TargetID, cancel func()) *stallWatch {
	now := time.Now()
	w := &stallWatch{runner: r, item: it, target: target, cancel: cancel, begunAt: now, lastEvent: now, maxWait: maxFirstEventWait}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(firstEventTimeout, w.check)
	return w
}

// recordEvent records that an event arrived.
func (w *stallWatch) recordEvent(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastEvent, w.maxWait = now, maxEventWait
	if !w.stopped {
		w.timer.Reset(stallTimeout)
	}
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check cancels the attempt unless waiting is better, and then checks again later.
func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	now := time.Now()
	if now.Sub(w.lastEvent) < w.maxWait && w.runner.shouldWait(now, w.item, w.target) {
		w.timer.Reset(stallCheckInterval)
		return
	}
	w.runner.avoidTarget(w.item, w.target)
	w.cancel()
}

// avoidTarget makes an item leave a target: its next attempt goes elsewhere if another
// target may run it.
func (r *Runner) avoidTarget(it *itemRun, target sillid.TargetID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it.avoid = silltarget.Excluding(it.avoid, target)
}

// erroredOutcome returns the outcome of an attempt that a target answered with an error. In pools
// that eject targets with errors, it makes the item leave the target.
func (r *Runner) erroredOutcome(it *itemRun, target sillid.TargetID) silltarget.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	outcome := silltarget.Errored
	if it.errored {
		outcome = silltarget.ErroredAgain
	}
	it.errored = true
	if r.cfg.Directory.Switch(it.job.pool).On(silltarget.OutlierEjection) {
		it.avoid = silltarget.Excluding(it.avoid, target)
	}
	return outcome
}

// shouldWait returns whether an item without an event should stay at its engine: the
// engine makes progress with other generations, and no other engine has a free slot.
func (r *Runner) shouldWait(now time.Time, it *itemRun, target sillid.TargetID) bool {
	if !r.cfg.Directory.MadeProgress(target, now.Add(-stallTimeout)) {
		return false
	}
	r.mu.Lock()
	q := r.query(now, it)
	r.mu.Unlock()
	q.Exclude = silltarget.Excluding(q.Exclude, target)
	return r.cfg.Directory.FreeSlots(now, q) == 0
}
