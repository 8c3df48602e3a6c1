package silljob

import "time"

// workTime returns the expected time that an item still takes at an engine of mean speed, and
// the time until its job is due; 0 if unknown. An item that has begun is half done on average.
func (r *Runner) workTime(now time.Time, it *itemRun) (work, dueIn time.Duration) {
	due, mean := it.job.sub.DueAt(), it.job.meanTokens()
	if due.IsZero() || !now.Before(due) || r.attemptTime == 0 || mean == 0 || it.item.ExpectedTokens <= 0 {
		return 0, 0
	}
	return time.Duration(float64(r.attemptTime) * it.workLeft() / mean), due.Sub(now)
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
