package silljob

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
)

// reconcileOwnership starts and stops jobs according to the owners on the board, and
// takes over jobs without a live owner.
func (r *Runner) reconcileOwnership(now time.Time) {
	open := r.cfg.Board.OpenJobs()
	r.stopLostJobs(open)
	r.forgetOrphans(open)
	r.forgetFailedLoads(open)
	for job, v := range open {
		switch {
		case v.Owner == r.cfg.Self:
			r.startLoading(job, v, false)
		case v.Owner != "" && r.cfg.Alive(v.Owner, v.Revision):
			r.clearOrphan(job)
			r.prepareTakeover(now, v)
		default:
			r.takeOver(now, job, v)
		}
	}
}

// stopLostJobs stops the jobs that are no longer open or that another process owns.
func (r *Runner) stopLostJobs(open map[ID]VersionedState) {
	r.mu.Lock()
	var lost []*ownedJob
	for job, j := range r.jobs {
		v, ok := open[job]
		if !ok || (v.Owner != r.cfg.Self && v.Revision > j.held.Revision) {
			lost = append(lost, j)
		}
	}
	r.mu.Unlock()
	for _, j := range lost {
		r.stopJob(j, "closed")
	}
}

// orphan is a job whose owner is not alive by its row.
type orphan struct {
	owner GatewayRun
	// since is when the job was first seen in this state.
	since time.Time
	// left is whether the job was left to its owner, since the owner answered.
	left bool
}

// forgetOrphans forgets the orphans that are no longer open.
func (r *Runner) forgetOrphans(open map[ID]VersionedState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for job := range r.orphans {
		if _, ok := open[job]; !ok {
			delete(r.orphans, job)
		}
	}
}

func (r *Runner) clearOrphan(job ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.orphans, job)
}

// prepareTakeover asks an owner that is overdue in time, so that the takeover of a dead one does
// not wait for the answer.
func (r *Runner) prepareTakeover(now time.Time, v VersionedState) {
	if r.cfg.TableFails == nil || !r.cfg.TableFails() || !r.cfg.Overdue(v.Owner) {
		return
	}
	// The owner, which usually has rank 0, still counts as alive.
	if rank, ok := r.cfg.TakeoverRank(v.placement()); ok && rank <= 1 {
		r.probeOwner(now, v.Owner)
	}
}

// takeOver claims a job without a live owner once the delay of this process's
// takeover rank has passed, unless its owner answers.
func (r *Runner) takeOver(now time.Time, job ID, v VersionedState) {
	rank, ok := r.cfg.TakeoverRank(v.placement())
	if !ok {
		return
	}
	r.mu.Lock()
	o := r.orphans[job]
	if o == nil || o.owner != v.Owner {
		o = &orphan{owner: v.Owner, since: now}
		r.orphans[job] = o
	}
	r.mu.Unlock()
	if now.Sub(o.since) < time.Duration(rank)*takeoverRankDelay || r.mustWait(now, job, o) {
		return
	}
	r.startLoading(job, v, true)
}

// stopJob stops running a job. It caches the generations in progress for a later job
// with the same items.
func (r *Runner) stopJob(j *ownedJob, why string) {
	r.mu.Lock()
	if r.jobs[j.sub.Job] != j {
		r.mu.Unlock()
		return
	}
	delete(r.jobs, j.sub.Job)
	r.heldBytes -= j.heldBytes
	generations := j.inProgress(1)
	r.mu.Unlock()
	j.group.Cancel()
	r.cfg.Cache.AddUnfinished(j.sub, generations)
	r.cfg.Log.Info("Stopped running a job.", zap.String("job", string(j.sub.Job)), zap.String("why", why),
		zap.Int("unfinished", len(generations)))
	r.notifyDispatcher()
}

// releaseAll releases every owned job, so that other processes can claim them.
func (r *Runner) releaseAll() {
	r.mu.Lock()
	r.stopping = true
	jobs := make([]*ownedJob, 0, len(r.jobs))
	for _, j := range r.jobs {
		jobs = append(jobs, j)
	}
	r.mu.Unlock()
	group := sillgroup.New(r.group.Context())
	for _, j := range jobs {
		group.Go(func(ctx context.Context) { r.release(ctx, j) })
	}
	group.Wait()
}

// release releases a job. It writes the results that are not published yet, and saves the
// generations in progress. It tries again while the job's writer changes the state row or
// the table refuses the write, for releaseTimeout at most.
func (r *Runner) release(ctx context.Context, j *ownedJob) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		r.mu.Lock()
		u, held := j.lastUpdate(), j.held
		owned := r.jobs[j.sub.Job] == j
		r.mu.Unlock()
		if !owned || held.Done() {
			return
		}
		after, err := r.cfg.Store.Release(ctx, j.sub.Job, held, u)
		r.cfg.Log.Info("Handing a job back.", zap.String("job", string(j.sub.Job)), zap.Int("texts", len(u.Progress)),
			zap.Int("results", len(u.Results)), silllog.Err(err))
		if err == nil {
			j.group.Cancel()
			r.recordWrite(j, after, u.Results)
			return
		}
		if !r.resolveWrite(ctx, j) {
			sleep(ctx, writeRetryDelay)
		}
	}
}

// releaseAssigned releases the jobs that other processes, calls under way or earlier
// claims make this one own, for HandoverTime.
func (r *Runner) releaseAssigned() {
	if r.cfg.HandoverTime <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(r.group.Context(), r.cfg.HandoverTime)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		changed := r.cfg.Board.Changed()
		for job, v := range r.cfg.Board.OpenJobs() {
			if v.Owner == r.cfg.Self {
				r.releaseJob(ctx, job, v)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// releaseJob releases a job that this process owns, whether it runs the job or not.
func (r *Runner) releaseJob(ctx context.Context, job ID, v VersionedState) {
	r.mu.Lock()
	j := r.jobs[job]
	r.mu.Unlock()
	if j != nil {
		r.release(ctx, j)
		return
	}
	after, err := r.cfg.Store.Release(ctx, job, v, Update{Waiting: v.Waiting})
	r.cfg.Log.Info("Passing a new job on.", zap.String("job", string(job)), silllog.Err(err))
	if err == nil {
		r.cfg.Board.UpdateIfNewer(job, after)
	}
}
