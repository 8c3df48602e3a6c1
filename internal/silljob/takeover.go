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
	for job, v := range open {
		switch {
		case v.Owner == r.cfg.Self:
			r.startLoading(job, v, false)
		case v.Owner != "" && r.cfg.Alive(v.Owner, v.Revision):
			r.clearOrphan(job)
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

func (r *Runner) clearOrphan(job ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.orphanSince, job)
}

// takeOver claims a job without a live owner once the delay of this process's
// takeover rank has passed.
func (r *Runner) takeOver(now time.Time, job ID, v VersionedState) {
	rank, ok := r.cfg.TakeoverRank(v.Model)
	if !ok {
		return
	}
	r.mu.Lock()
	since, seen := r.orphanSince[job]
	if !seen {
		since = now
		r.orphanSince[job] = now
	}
	r.mu.Unlock()
	if now.Sub(since) >= time.Duration(rank)*takeoverRankDelay {
		r.startLoading(job, v, true)
	}
}

// startLoading loads a job in the background, and claims it first if claim is set.
func (r *Runner) startLoading(job ID, v VersionedState, claim bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || r.loading[job] || r.jobs[job] != nil {
		return
	}
	r.loading[job] = true
	r.group.Go(func(ctx context.Context) {
		defer func() {
			r.mu.Lock()
			delete(r.loading, job)
			r.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		if err := r.load(ctx, job, v, claim); err != nil {
			r.cfg.Log.Warn("Failed to load a job; retrying.", zap.String("job", string(job)), zap.Bool("claim", claim), silllog.Err(err))
		}
	})
}

// load claims a job if claim is set, reads it from the store and starts it.
func (r *Runner) load(ctx context.Context, job ID, v VersionedState, claim bool) error {
	held := v
	if claim {
		after, err := r.cfg.Store.Claim(ctx, job, v, r.cfg.Self)
		if err != nil {
			return err
		}
		held = after
		r.cfg.Metrics.takeovers.Inc()
		r.cfg.Log.Info("Took a job over.", zap.String("job", string(job)), zap.String("from", string(v.Owner)),
			zap.Uint64("epoch", uint64(held.Epoch)), zap.Int("listed", held.Published))
		r.cfg.Board.UpdateIfNewer(job, held)
	}
	sub, err := r.cfg.Store.Submission(ctx, job)
	if err != nil {
		return err
	}
	var results []Result
	if held.Published > 0 {
		if results, err = r.cfg.Store.Results(ctx, job, 0); err != nil {
			return err
		}
	}
	var saved []Progress
	if held.HasProgress {
		if saved, err = r.cfg.Store.SavedProgress(ctx, job); err != nil {
			return err
		}
	}
	r.adopt(sub, held, results, saved)
	return nil
}

// adopt starts to run a job from its published results and saved generations.
func (r *Runner) adopt(sub *Submission, held VersionedState, results []Result, saved []Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || r.jobs[sub.Job] != nil {
		return
	}
	j := newOwnedJob(r.group.Context(), sub, held)
	j.skipPublished(results)
	j.resumeSaved(saved)
	r.resumeFromCache(j)
	r.jobs[sub.Job] = j
	j.group.Go(func(ctx context.Context) { r.writeLoop(ctx, j) })
	delete(r.orphanSince, sub.Job)
	r.notifyDispatcher()
}

// resumeFromCache restores generations in progress of items that this process ran in
// an earlier job and did not finish.
func (r *Runner) resumeFromCache(j *ownedJob) {
	for _, it := range j.items {
		if it.phase != waiting || len(it.events) > 0 {
			continue
		}
		if p, ok := r.cfg.Cache.Unfinished(it.item.ID); ok {
			it.resume(p)
		}
	}
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
	generations := j.inProgress(1)
	r.mu.Unlock()
	j.group.Cancel()
	r.cfg.Cache.AddUnfinished(generations)
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
// the table refuses the write, for loadTimeout at most.
func (r *Runner) release(ctx context.Context, j *ownedJob) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
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
