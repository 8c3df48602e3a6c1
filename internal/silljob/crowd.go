package silljob

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// A trainer uses whole groups: a group of which one item is missing when the job is due
// is worth little. A job that its engines can complete in time is run longest item
// first, so that no long item is left for the end. One that they can't complete in time
// is run group by group, those with the least work left first, so that as many groups as
// possible are whole in time. The other order would leave all of them nearly done.

// attemptTimeWeight is the weight of one attempt in the moving average of their times.
const attemptTimeWeight = 0.1

// recordAttemptTime records the time that a complete attempt took.
func (r *Runner) recordAttemptTime(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attemptTime == 0 {
		r.attemptTime = took
		return
	}
	r.attemptTime += time.Duration(attemptTimeWeight * float64(took-r.attemptTime))
}

// orderGroups finds the crowded jobs and orders their groups. The caller holds r.mu.
func (r *Runner) orderGroups(now time.Time) {
	ahead := make(map[sillid.ModelID]int)
	for _, j := range r.jobsByAge() {
		waiting, running := j.countPhases()
		if !j.crowded && r.isLate(now, j, ahead[j.sub.Model]+waiting, running) {
			j.crowded = true
			r.cfg.Log.Info("Job can't be complete when it is due; running it group by group.", zap.String("job", string(j.sub.Job)),
				zap.Int("waiting", waiting), zap.Int("running", running), zap.Duration("attempt-time", r.attemptTime))
		}
		if j.crowded {
			j.groupOrder = groupOrder(j.items)
		}
		ahead[j.sub.Model] += waiting
	}
}

// jobsByAge returns the jobs that have not ended, the oldest first.
func (r *Runner) jobsByAge() []*ownedJob {
	jobs := make([]*ownedJob, 0, len(r.jobs))
	for _, j := range r.jobs {
		if !j.held.Ended {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *ownedJob) int { return cmp.Compare(a.sub.SubmittedMS, b.sub.SubmittedMS) })
	return jobs
}

// isLate returns whether a job is expected to be complete only after it is due. waiting
// counts the items that wait for its engines, those of older jobs included.
func (r *Runner) isLate(now time.Time, j *ownedJob, waiting, running int) bool {
	due := j.sub.DueAt()
	if due.IsZero() || r.attemptTime == 0 || waiting == 0 {
		return false
	}
	slots := running + r.cfg.Directory.FreeSlots(now, r.jobQuery(j))
	return now.Add(timeToComplete(waiting, slots, r.attemptTime)).After(due)
}

// timeToComplete returns the expected time until a number of waiting items is complete
// in slots that are in use now.
func timeToComplete(waiting, slots int, attemptTime time.Duration) time.Duration {
	rounds := float64(waiting)/float64(max(slots, 1)) + 1
	return time.Duration(rounds * float64(attemptTime))
}

// countPhases returns how many items wait for an engine, and how many one runs.
func (j *ownedJob) countPhases() (waitingItems, runningItems int) {
	for _, it := range j.items {
		switch it.phase {
		case waiting:
			waitingItems++
		case running:
			runningItems++
		case scoring, finished:
		}
	}
	return waitingItems, runningItems
}

// groupOrder returns the place of each group, from 1, by the work that is left, the
// least first.
func groupOrder(items []*itemRun) map[string]int {
	left := make(map[string]float64)
	for _, it := range items {
		left[it.item.Group] += it.workLeft()
	}
	groups := make([]string, 0, len(left))
	for group := range left {
		groups = append(groups, group)
	}
	slices.SortFunc(groups, func(a, b string) int {
		return cmp.Or(cmp.Compare(left[a], left[b]), cmp.Compare(a, b))
	})
	order := make(map[string]int, len(groups))
	for i, group := range groups {
		order[group] = i + 1
	}
	return order
}

// workLeft estimates the work that is left of an item, in tokens; 1 if its length is
// unknown.
func (it *itemRun) workLeft() float64 {
	work := float64(max(it.item.ExpectedTokens, 1))
	switch it.phase {
	case finished, scoring:
		return 0
	case running:
		return work / 2
	case waiting:
		if len(it.events) > 0 {
			return work / 2
		}
	}
	return work
}
