package silltarget

import (
	"math"
	"time"
)

// Requests of a batch slow each other down. At engines where they do so by little, a fast engine
// that is nearly full is better than an idle one of half its speed. By how much is learnt for each
// pool from how the time for a unit of work at a target changes with the number of requests
// there. Only changes at one and the same target count, since targets differ in speed.

const (
	// batchMemory is the time in which the weight of an observation halves.
	batchMemory = 5 * time.Minute
	// batchLoadAge is the greatest age of a reported load in an observation. The weight of the
	// observation halves in batchLoadHalfLife: others begin and finish requests meanwhile.
	batchLoadAge      = time.Second
	batchLoadHalfLife = 200 * time.Millisecond
	// batchWeight is the least weight of one observation in the moving averages.
	batchWeight = 0.05
	// minBatchSamples is the number of observations at a target before its averages are used.
	minBatchSamples = 10
	// minBatchSpread is the sum of the squared deviations of the load from which the
	// estimate is used alone. If times vary by 0.3, its error is then about 0.02.
	minBatchSpread = 300
	// maxBatchDeviation bounds the deviation of a time as a multiple of the average: a slowdown
	// that is not reported says nothing about batching.
	maxBatchDeviation = 1
	// minBatchDelay and maxBatchDelay bound the estimate. Without any delay, all gateways would
	// fill the same target at once.
	minBatchDelay = 0.01
	maxBatchDelay = 1

	// othersHalfLife is the time in which the difference between the reported and the usual
	// number of requests of others halves.
	othersHalfLife = time.Second
	// usualOthersWeight is the weight of a report in that usual number.
	usualOthersWeight = 0.1
	// freshReportVariance is the variance of the number of requests of others just after a report,
	// as a share of the usual number.
	freshReportVariance = 0.2
	// queueCost is the cost of a request in the queue of a target as a multiple of its own wait.
	// It delays all that come after it, or is rejected.
	queueCost = 8
)

// batchRecord estimates for a pool how much longer work takes for each further request at its
// target.
type batchRecord struct {
	// spread is the sum of the squared deviations of the load from the target's average, and
	// product that of the products with the relative deviations of the time. Both are decayed
	// to updatedAt.
	spread, product float64
	updatedAt       time.Time
	// load is the average load of the observations.
	load float64
	// workTime is the average WorkTime of the requests sent, in seconds; 0 if unknown.
	workTime float64
}

// batchAverages holds the moving averages of the observations at a target.
type batchAverages struct {
	samples    int
	load, unit float64
}

// add adds an observation and returns its deviations from the averages before it; that of the unit
// is relative.
func (a *batchAverages) add(load, unit, weight float64) (loadDeviation, unitDeviation float64) {
	if a.samples > 0 {
		loadDeviation, unitDeviation = load-a.load, unit/a.unit-1
	}
	a.samples++
	share := max(1/float64(a.samples), batchWeight*weight)
	a.load += share * (load - a.load)
	a.unit += share * (unit - a.unit)
	return loadDeviation, unitDeviation
}

func (b *batchRecord) add(now time.Time, loadDeviation, unitDeviation, weight float64) {
	factor := math.Exp2(-max(now.Sub(b.updatedAt), 0).Seconds() / batchMemory.Seconds())
	unitDeviation = min(unitDeviation, maxBatchDeviation)
	b.spread = b.spread*factor + weight*loadDeviation*loadDeviation
	b.product = b.product*factor + weight*loadDeviation*unitDeviation
	b.updatedAt = now
}

// confidence returns the weight of the estimate, from 0 to 1.
func (b *batchRecord) confidence() float64 {
	if b == nil {
		return 0
	}
	return min(b.spread/minBatchSpread, 1)
}

// delay returns how much longer work takes for each further request, as a share of its time
// alone. The confidence must not be 0.
func (b *batchRecord) delay() float64 {
	// The slope is relative to the time at the average load.
	slope := b.product / b.spread
	alone := 1 - slope*(b.load-1)
	if alone <= 0 {
		return maxBatchDelay
	}
	return min(max(slope/alone, minBatchDelay), maxBatchDelay)
}

// observeBatch adds a measured time for a unit of work. Times within a reported slowdown, of
// unknown load or at targets that report no duration are left out.
func (d *Directory) observeBatch(now time.Time, t *target, unit time.Duration) {
	age := max(now.Sub(t.loadReportedAt), 0)
	if t.speed.slowdown == 0 || t.speed.slowdown >= noticeableSlowdown || age >= batchLoadAge {
		return
	}
	weight := math.Exp2(-age.Seconds() / batchLoadHalfLife.Seconds())
	load := float64(min(t.running+t.otherLoad, max(t.entry.Slots, 1)))
	loadDeviation, unitDeviation := t.batch.add(load, unit.Seconds()/t.speed.current(now), weight)
	if t.batch.samples <= minBatchSamples {
		return
	}
	b := d.batches[t.entry.Pool]
	if b == nil {
		b = &batchRecord{updatedAt: now, load: t.batch.load}
		d.batches[t.entry.Pool] = b
	}
	b.load += batchWeight * weight * (load - b.load)
	b.add(now, loadDeviation, unitDeviation, weight)
}

// recordWork adds a request that is sent to the average WorkTime of its pool.
func (d *Directory) recordWork(q *Query) {
	b := d.batches[q.Pool]
	switch {
	case b == nil || q.WorkTime <= 0:
	case b.workTime == 0:
		b.workTime = q.WorkTime.Seconds()
	default:
		b.workTime += batchWeight * (q.WorkTime.Seconds() - b.workTime)
	}
}

// aloneTime returns the usual time of a target without the delay by other requests; 0 if unknown.
func (d *Directory) aloneTime(t *target) time.Duration {
	b := d.batches[t.entry.Pool]
	confidence := b.confidence()
	if confidence == 0 || t.batch.samples == 0 {
		return t.speed.usual
	}
	return time.Duration(float64(t.speed.usual) / (1 + confidence*b.delay()*max(t.batch.load-1, 0)))
}

// batchCost returns the cost of a target for a batched request that takes some time there. Until
// enough is known of the pool, it is that time multiplied by the utilisation.
func (d *Directory) batchCost(now time.Time, q *Query, t *target, work time.Duration) float64 {
	cost := work.Seconds() * t.utilisation(now, 1)
	b := d.batches[t.entry.Pool]
	confidence := b.confidence()
	if confidence == 0 {
		return cost
	}
	beside, queue := t.batchDelays(now, b.delay())
	// What is ahead in a queue is of average length, so a long request loses less there
	// than at a slow target.
	ahead := work.Seconds()
	if q.WorkTime > 0 && b.workTime > 0 {
		ahead *= b.workTime / q.WorkTime.Seconds()
	}
	return cost + confidence*(work.Seconds()*beside+queueCost*ahead*queue-cost)
}

// batchDelays returns the cost of the requests beside a further one at a target as a share of that of a
// full target, and the expected queue there as a share of the slots. A request delays the
// others as much as they delay it.
func (t *target) batchDelays(now time.Time, delay float64) (beside, queue float64) {
	slots := float64(max(t.entry.Slots, 1))
	others, deviation := t.expectedOthers(now)
	utilisation := (float64(t.running) + others + 1) / slots
	queue = expectedExcess(utilisation-1, deviation/slots)
	growing := 2 * delay * slots
	growing /= 1 - delay + growing
	return 1 - growing + growing*(utilisation-queue), queue
}

// expectedOthers returns the expected number of the requests of other processes at a target, and
// its standard deviation: others read the same reports and send at the same time.
func (t *target) expectedOthers(now time.Time) (mean, deviation float64) {
	if t.loadReportedAt.IsZero() {
		return 0, 0
	}
	fresh := math.Exp2(-max(now.Sub(t.loadReportedAt), 0).Seconds() / othersHalfLife.Seconds())
	mean = t.usualOthers + fresh*(float64(t.otherLoad)-t.usualOthers)
	return mean, math.Sqrt(t.usualOthers * (1 - fresh*fresh + freshReportVariance))
}

// expectedExcess returns the mean of the positive part of a normally distributed value.
func expectedExcess(mean, deviation float64) float64 {
	if deviation == 0 {
		return max(mean, 0)
	}
	z := mean / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return deviation*density + mean*(1+math.Erf(z/math.Sqrt2))/2
}
