package silljob

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillschedule"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// A trainer waits for RequiredGroups complete groups of a job and ends it then. The groups that it
// is expected not to wait for are spare: their items are sent after those of the needed groups
// of all jobs of this process. Groups that were not complete return in a later job of the
// trainer, at the beginning of its list, and it waits for each of those.

const (
	// historyTime is how long the groups of jobs are remembered. Groups that were not
	// complete return in one of the next jobs, which follow every few seconds.
	historyTime = time.Minute
	// maxHistory bounds the jobs whose groups are remembered.
	maxHistory = 256
	// maxSpareWait is the age of a job from which its groups are not spare while more than half of the
	// pool's slots are free. Items may wait beside these, as not every target serves each weight
	// version; none may for 5 s.
	maxSpareWait = 4 * time.Second
)

// jobRecord is what is remembered of a job to recognise groups that return.
type jobRecord struct {
	organisation sillid.OrganisationID
	model        sillid.ModelID
	submittedMS  int64
	groups       map[string]bool
}

// precedes returns whether groups of the recorded job may return in another one.
func (rec *jobRecord) precedes(sub *Submission) bool {
	return rec.organisation == sub.Organisation && rec.model == sub.Model && rec.submittedMS < sub.SubmittedMS
}

// groupsInOrder returns the groups of the items that are read, in the order of the job.
func (j *ownedJob) groupsInOrder() []string {
	seen := make(map[string]bool)
	var groups []string
	for _, it := range j.items {
		if !seen[it.item.Group] {
			seen[it.item.Group] = true
			groups = append(groups, it.item.Group)
		}
	}
	return groups
}

// recordGroups finds the groups of a job that return and remembers all of its groups for later
// jobs. It is called once all items are read, and the caller holds r.mu.
func (r *Runner) recordGroups(now time.Time, j *ownedJob) {
	if j.returning != nil {
		return
	}
	for job, rec := range r.history {
		if now.UnixMilli()-rec.submittedMS > historyTime.Milliseconds() {
			delete(r.history, job)
		}
	}
	groups := j.groupsInOrder()
	j.returning = r.returningGroups(j.sub, groups)
	if len(r.history) >= maxHistory {
		return
	}
	rec := jobRecord{organisation: j.sub.Organisation, model: j.sub.Model, submittedMS: j.sub.SubmittedMS, groups: make(map[string]bool, len(groups))}
	for _, g := range groups {
		rec.groups[g] = true
	}
	r.history[j.sub.Job] = rec
}

// returningGroups returns the first groups of a job, as far as they were in earlier jobs. If
// earlier jobs of the trainer are not remembered, it returns as many as may return: half of the
// groups that the trainer waits for.
func (r *Runner) returningGroups(sub *Submission, groups []string) map[string]bool {
	returning := make(map[string]bool)
	if !r.knowsEarlierJobs(sub) {
		for _, g := range groups[:min((sub.RequiredGroups+1)/2, len(groups))] {
			returning[g] = true
		}
		return returning
	}
	for _, g := range groups {
		if !r.wasInEarlierJob(sub, g) {
			break
		}
		returning[g] = true
	}
	return returning
}

func (r *Runner) wasInEarlierJob(sub *Submission, group string) bool {
	for _, rec := range r.history {
		if rec.precedes(sub) && rec.groups[group] {
			return true
		}
	}
	return false
}

// knowsEarlierJobs returns whether this process remembers the groups of all earlier jobs of the
// same organisation and model that it knows of, and of one at least.
func (r *Runner) knowsEarlierJobs(sub *Submission) bool {
	known := false
	for _, rec := range r.history {
		known = known || rec.precedes(sub)
	}
	return known && r.cfg.Board.all(func(job ID, v VersionedState) bool {
		_, remembered := r.history[job]
		return remembered || v.Organisation != sub.Organisation || v.Model != sub.Model ||
			v.SubmittedMS >= sub.SubmittedMS || sub.SubmittedMS-v.SubmittedMS > historyTime.Milliseconds()
	})
}

// all returns whether a condition holds for all jobs.
func (b *Board) all(holds func(job ID, v VersionedState) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for job, v := range b.states {
		if !holds(job, v) {
			return false
		}
	}
	return true
}

// findSpare finds the spare groups of a pool's jobs.
func (r *Runner) findSpare(now time.Time, pool sillid.PoolID, jobs []*ownedJob, s *shortage) {
	s.spare = make(map[groupName]bool)
	halfFree := 2*r.cfg.Directory.FreeSlots(now, poolQuery(pool, jobs)) > s.slots
	for _, j := range jobs {
		if j.sub.RequiredGroups <= 0 || j.countUnloaded() > 0 || j.removed > 0 || j.meanTokens() == 0 {
			continue
		}
		age := now.Sub(time.UnixMilli(j.sub.SubmittedMS))
		if age >= sillschedule.LongWait || (halfFree && age > maxSpareWait) {
			continue
		}
		for group := range sillschedule.Spare(j.sub.RequiredGroups, r.jobGroups(j)) {
			s.spare[groupName{j.sub.Job, group}] = true
		}
	}
}

// jobGroups returns all groups of a job in its order.
func (r *Runner) jobGroups(j *ownedJob) []sillschedule.JobGroup {
	index := make(map[string]int)
	var groups []sillschedule.JobGroup
	for _, it := range j.items {
		i, ok := index[it.item.Group]
		if !ok {
			i = len(groups)
			index[it.item.Group] = i
			groups = append(groups, sillschedule.JobGroup{Name: it.item.Group, Complete: true, Returning: j.returning[it.item.Group]})
		}
		g, left := &groups[i], it.workLeft()
		g.Left += left
		g.Longest = max(g.Longest, left)
		g.Begun = g.Begun || it.started || it.phase != waiting
		g.Failed = g.Failed || it.abandoned
		g.Complete = g.Complete && it.phase == finished && !it.abandoned
	}
	return groups
}

// isSpare returns whether an item belongs to a spare group.
func (r *Runner) isSpare(it *itemRun) bool {
	s := r.shortages[it.job.pool]
	return s != nil && s.spare[groupName{it.job.sub.Job, it.item.Group}]
}
