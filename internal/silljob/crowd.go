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

const (
	// crowdedShare is the share of the time until a job is due from which the work that
	// is left makes it crowded; below roomyShare it is no longer. Between the two it
	// stays as it is, so that estimates that vary do not change the order all the time.
	crowdedShare = 1.1
	roomyShare   = 0.8
	// minHorizonShare is the least time for which the work left is compared, as a share
	// of the whole time of a job. A job that is nearly or already due, with little work
	// left, is best completed as a whole: its trainer waits for it.
	minHorizonShare = 0.5
)

// modelLoad is the number of items of a model's jobs.
type modelLoad struct {
	waiting, running int
}

// add returns the sum of two loads.
func (l modelLoad) add(o modelLoad) modelLoad {
	return modelLoad{waiting: l.waiting + o.waiting, running: l.running + o.running}
}

// orderGroups finds the crowded jobs and orders their groups. The caller holds r.mu.
func (r *Runner) orderGroups(now time.Time) {
	jobs := r.jobsByAge()
	running := make(map[sillid.ModelID]int)
	for _, j := range jobs {
		running[j.sub.Model] += j.load().running
	}
	ahead := make(map[sillid.ModelID]modelLoad)
	for _, j := range jobs {
		load := ahead[j.sub.Model].add(j.load())
		ahead[j.sub.Model] = load
		wasCrowded := j.crowded
		j.updateCrowded(r.shareOfTimeNeeded(now, j, load, running[j.sub.Model]))
		if j.crowded && !wasCrowded {
			r.cfg.Log.Info("Job can't be complete when it is due; running it group by group.", zap.String("job", string(j.sub.Job)),
				zap.Int("waiting", load.waiting), zap.Int("running", running[j.sub.Model]), zap.Duration("attempt-time", r.attemptTime))
		}
		j.groupOrder = nil
		if j.crowded {
			j.groupOrder = groupOrder(j.items)
		}
	}
}

// updateCrowded updates whether the job is crowded from the share of the time until it is
// due that the work left takes; 0 if unknown.
func (j *ownedJob) updateCrowded(share float64) {
	switch {
	case share > crowdedShare:
		j.crowded = true
	case share < roomyShare:
		j.crowded = false
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

// shareOfTimeNeeded returns the time that a job and the older ones of its model still
// take, as a share of the time until the job is due, or of minHorizonShare of its whole
// time if that is longer; 0 if either is unknown. running is
// the number of the model's items at engines.
func (r *Runner) shareOfTimeNeeded(now time.Time, j *ownedJob, load modelLoad, running int) float64 {
	due := j.sub.DueAt()
	if due.IsZero() || r.attemptTime == 0 || load.waiting == 0 {
		return 0
	}
	q := r.jobQuery(j)
	q.IgnoreLimits, q.AttemptTime = true, r.attemptTime
	slots := running + r.cfg.Directory.FreeSlots(now, q)
	left := max(due.Sub(now), time.Duration(minHorizonShare*float64(j.sub.DueAfterMS))*time.Millisecond)
	return timeToComplete(load, slots, r.attemptTime).Seconds() / left.Seconds()
}

// timeToComplete returns the expected time until items are complete in a number of slots.
// Running items are half done on average.
func timeToComplete(load modelLoad, slots int, attemptTime time.Duration) time.Duration {
	attempts := float64(load.waiting) + float64(load.running)/2
	return time.Duration(attempts / float64(max(slots, 1)) * float64(attemptTime))
}

// load returns how many items wait for an engine, those that are not read yet included, and
// how many one runs.
func (j *ownedJob) load() modelLoad {
	load := modelLoad{waiting: j.countUnloaded()}
	for _, it := range j.items {
		switch it.phase {
		case waiting:
			load.waiting++
		case running:
			load.running++
		case scoring, finished:
		}
	}
	return load
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
