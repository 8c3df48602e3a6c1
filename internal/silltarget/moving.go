package silltarget

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// A request moves to another target if that saves time, and is not sent to a target that it would
// leave at once: one with free slots for it is then faster by more than a move costs.

const (
	// MinMoveSaving is the least expected time that a move must save.
	MinMoveSaving = 400 * time.Millisecond
	// minMoveSpeedup is the least ratio of the expected times: they are estimates.
	minMoveSpeedup = 1.25
)

// Move compares the target of a request with the fastest other one that would take it.
type Move struct {
	To sillid.TargetID
	// Here and There are the expected times until the request is finished.
	Here, There time.Duration
}

// isWorth returns whether a move saves enough.
func (m *Move) isWorth(cost time.Duration) bool {
	return m.Here.Seconds() >= minMoveSpeedup*m.There.Seconds() && m.Here-m.There-cost >= MinMoveSaving
}

// ReportsSpeed returns whether a target of a pool has reported how long work takes.
func (d *Directory) ReportsSpeed(pool sillid.PoolID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.switchOf(pool).Has(SpeedReported)
}

// FindMove returns the move of a running request that saves most, and whether it saves more than
// q.MovingCost. If q.WorkTime is 0, the request has some units of work left. taken holds
// the slots that other moves will take.
func (d *Directory) FindMove(now time.Time, id sillid.TargetID, q Query, units int, taken map[sillid.TargetID]int) (Move, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	meanUsual := d.meanUsual(q.Pool)
	t := d.targets[id]
	if t == nil || t.speed.usual == 0 {
		return Move{}, false
	}
	if q.WorkTime <= 0 {
		q.WorkTime = time.Duration(units) * meanUsual
	}
	q.FreeOnly, q.Exclude = true, Excluding(q.Exclude, id)
	m := Move{Here: d.timeLeft(now, &q, t, float64(t.load(now)), meanUsual)}
	if m.Here < q.MovingCost+MinMoveSaving {
		return m, false
	}
	slowed := t.speed.current(now) >= noticeableSlowdown
	for _, o := range d.targets {
		if o.speed.usual == 0 || o.speed.usual >= t.speed.usual && !slowed {
			continue
		}
		if !o.isEligible(now, &q, 0) || !o.hasSlotFor(now, 1+taken[o.entry.ID]) {
			continue
		}
		there := d.timeLeft(now, &q, o, o.loadWith(now, 1), meanUsual)
		if m.To == "" || there < m.There || there == m.There && o.entry.ID < m.To {
			m.To, m.There = o.entry.ID, there
		}
	}
	return m, m.To != "" && m.isWorth(q.MovingCost)
}

// timeLeft returns the expected time of a request at a target that runs some number of requests.
func (d *Directory) timeLeft(now time.Time, q *Query, t *target, load float64, meanUsual time.Duration) time.Duration {
	work := q.WorkTime.Seconds() * d.aloneTime(t).Seconds() / meanUsual.Seconds()
	if b := d.batches[t.entry.Pool]; b.confidence() > 0 {
		work *= 1 + b.confidence()*b.delay()*max(load-1, 0)
	}
	return t.speed.workTime(now, time.Duration(work*float64(time.Second)))
}

// loadWith returns the expected number of requests at a target with some more.
func (t *target) loadWith(now time.Time, more int) float64 {
	others, _ := t.expectedOthers(now)
	return float64(t.running+more) + others
}

// hasSlotFor returns whether a target probably has a free slot for each of some more requests.
func (t *target) hasSlotFor(now time.Time, more int) bool {
	_, deviation := t.expectedOthers(now)
	return t.loadWith(now, more)+deviation <= float64(max(t.entry.Slots, 1))
}

// markLeft marks the candidates that a request would leave for another one at once.
func (d *Directory) markLeft(now time.Time, q *Query, list []candidate, meanUsual time.Duration) {
	if q.MovingCost <= 0 || q.WorkTime <= 0 || meanUsual == 0 {
		return
	}
	fastest := time.Duration(0)
	for i := range list {
		c := &list[i]
		if c.speed.usual == 0 {
			continue
		}
		c.timeLeft = d.timeLeft(now, q, c.target, c.loadWith(now, 1), meanUsual)
		if c.hasSlotFor(now, 1) && (fastest == 0 || c.timeLeft < fastest) {
			fastest = c.timeLeft
		}
	}
	for i := range list {
		m := Move{Here: list[i].timeLeft, There: fastest}
		list[i].left = fastest > 0 && m.isWorth(q.MovingCost)
	}
}
