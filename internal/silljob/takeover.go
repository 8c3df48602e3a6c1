package silljob

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
)

// review compares the owned jobs with the board.
func (r *Runner) review(now time.Time) {
	open := r.cfg.Board.OpenJobs()
	r.dropClosed(open)
	for job, v := range open {
		switch {
		case v.Owner == r.cfg.Self:
			r.startReading(job, v, false)
		case v.Owner != "" && r.cfg.Alive(v.Owner):
			r.forgetOrphan(job)
		default:
			r.takeOver(now, job, v)
		}
	}
}

// dropClosed stops the owned jobs that ended or that another process runs.
func (r *Runner) dropClosed(open map[ID]VersionedState) {
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
		r.drop(j, "closed")
	}
}

func (r *Runner) forgetOrphan(job ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.orphanSince, job)
}

// takeOver claims a job without a living owner once it is this process's turn.
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
	if now.Sub(since) >= time.Duration(rank)*rankDelay {
		r.startReading(job, v, true)
	}
}

// startReading reads a job that this process runs or is to claim.
func (r *Runner) startReading(job ID, v VersionedState, claim bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving || r.claiming[job] || r.jobs[job] != nil {
		return
	}
	r.claiming[job] = true
	r.group.Go(func(ctx context.Context) {
		defer func() {
			r.mu.Lock()
			delete(r.claiming, job)
			r.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		if err := r.read(ctx, job, v, claim); err != nil {
			r.cfg.Log.Warn("Job not taken over.", zap.String("job", string(job)), zap.Bool("claim", claim), silllog.Err(err))
		}
	})
}

func (r *Runner) read(ctx context.Context, job ID, v VersionedState, claim bool) error {
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

// adopt begins to run a job.
func (r *Runner) adopt(sub *Submission, held VersionedState, results []Result, saved []Progress) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving || r.jobs[sub.Job] != nil {
		return
	}
	j := newOwnedJob(r.group.Context(), sub, held)
	j.skipListed(results)
	j.resumeSaved(saved)
	r.resumeFromOthers(j)
	r.jobs[sub.Job] = j
	j.group.Go(func(ctx context.Context) { r.write(ctx, j) })
	delete(r.orphanSince, sub.Job)
	r.nudge()
}

// resumeFromOthers takes the texts of items that came in an earlier job of this
// process and were not finished there.
func (r *Runner) resumeFromOthers(j *ownedJob) {
	for _, it := range j.items {
		if it.phase != waiting || len(it.events) > 0 {
			continue
		}
		if p, ok := r.cfg.Cache.Unfinished(it.item.ID); ok {
			it.resume(p)
		}
	}
}

// drop stops running a job. The texts that are not whole are kept for a later
// job with the same items.
func (r *Runner) drop(j *ownedJob, why string) {
	r.mu.Lock()
	if r.jobs[j.sub.Job] != j {
		r.mu.Unlock()
		return
	}
	delete(r.jobs, j.sub.Job)
	texts := j.unfinished(1)
	r.mu.Unlock()
	j.group.Cancel()
	r.cfg.Cache.AddUnfinished(texts)
	r.cfg.Log.Info("Stopped running a job.", zap.String("job", string(j.sub.Job)), zap.String("why", why),
		zap.Int("unfinished", len(texts)))
	r.nudge()
}

// handBackAll gives every owned job to another process.
func (r *Runner) handBackAll() {
	r.mu.Lock()
	r.leaving = true
	jobs := make([]*ownedJob, 0, len(r.jobs))
	for _, j := range r.jobs {
		jobs = append(jobs, j)
	}
	r.mu.Unlock()
	group := sillgroup.New(r.group.Context())
	for _, j := range jobs {
		group.Go(func(ctx context.Context) { r.handBack(ctx, j) })
	}
	group.Wait()
}

// handBackTries bounds the tries to hand a job back while its results are written.
const handBackTries = 5

// handBack frees a job for another process and saves the texts that are not whole.
func (r *Runner) handBack(ctx context.Context, j *ownedJob) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for range handBackTries {
		r.mu.Lock()
		texts, held := j.unfinished(1), j.held
		owned := r.jobs[j.sub.Job] == j
		r.mu.Unlock()
		if !owned || held.Done() {
			return
		}
		err := r.cfg.Store.Release(ctx, j.sub.Job, held, texts)
		r.cfg.Log.Info("Handing a job back.", zap.String("job", string(j.sub.Job)), zap.Int("texts", len(texts)), silllog.Err(err))
		if err == nil {
			j.group.Cancel()
			return
		}
		r.reconcile(ctx, j)
	}
}
