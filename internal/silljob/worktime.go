package silljob

import "time"

// workTime returns the expected time that an item still takes at an engine of mean speed, and
// the time until its job is due; 0 if unknown.
func (r *Runner) workTime(now time.Time, it *itemRun) (work, dueIn time.Duration) {
	due, work := it.job.sub.DueAt(), r.expectedWork(it)
	if due.IsZero() || !now.Before(due) || work == 0 {
		return 0, 0
	}
	return work, due.Sub(now)
}

// expectedWork returns the expected time that an item still takes at an engine of mean speed; 0 if
// unknown. An item that has begun is half done on average.
func (r *Runner) expectedWork(it *itemRun) time.Duration {
	mean := it.job.meanTokens()
	if r.attemptTime == 0 || mean == 0 || it.item.ExpectedTokens <= 0 {
		return 0
	}
	return time.Duration(float64(r.attemptTime) * it.workLeft() / mean)
}

// meanTokens returns the mean of the expected tokens of the items that are read; 0 if unknown.
func (j *ownedJob) meanTokens() float64 {
	if j.tokensOf != len(j.items) {
		sum, known := 0, 0
		for _, it := range j.items {
			if it.item.ExpectedTokens > 0 {
				sum += it.item.ExpectedTokens
				known++
			}
		}
		j.tokensMean, j.tokensOf = float64(sum)/float64(max(known, 1)), len(j.items)
	}
	return j.tokensMean
}
