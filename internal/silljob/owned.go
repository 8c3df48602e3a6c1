package silljob

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ownedJob is a job that this process runs. The runner's lock guards it.
type ownedJob struct {
	sub   *Submission
	items []*itemRun
	// pool serves the job's route in the configuration in force.
	pool sillid.PoolID
	// held is the newest state that this process wrote or read as the owner.
	held VersionedState
	// pending are results that are not listed yet.
	pending []Result
	// writeSignal wakes the writer; it holds at most one signal.
	writeSignal chan struct{}
	// savedEvents is the number of events of unfinished texts at their last saving.
	savedEvents int
	// group runs the attempts of the job's items.
	group *sillgroup.Group
	// groupTarget is where the last item of each group went: its prompt is cached there.
	groupTarget map[string]sillid.TargetID
}

func newOwnedJob(ctx context.Context, sub *Submission, held VersionedState) *ownedJob {
	j := &ownedJob{sub: sub, pool: sub.Pool, held: held, group: sillgroup.New(ctx), groupTarget: make(map[string]sillid.TargetID), writeSignal: make(chan struct{}, 1)}
	for i := range sub.Items {
		j.items = append(j.items, &itemRun{job: j, item: &sub.Items[i]})
	}
	return j
}

// skipPublished marks the items that have results.
func (j *ownedJob) skipPublished(results []Result) {
	listed := make(map[ItemID]bool, len(results))
	for _, r := range results {
		listed[r.Item] = true
	}
	for _, it := range j.items {
		if listed[it.item.ID] {
			it.phase = finished
		}
	}
}

// resumeSaved takes the saved texts that may be gone on with.
func (j *ownedJob) resumeSaved(saved []Progress) {
	texts := make(map[ItemID]Progress, len(saved))
	for _, p := range saved {
		texts[p.Item] = p
	}
	for _, it := range j.items {
		if p, ok := texts[it.item.ID]; ok && it.phase == waiting {
			it.resume(p)
		}
	}
}

// countUnstarted counts the items that no target has begun.
func (j *ownedJob) countUnstarted() int {
	n := 0
	for _, it := range j.items {
		if it.phase == waiting && !it.started {
			n++
		}
	}
	return n
}

// inProgress returns the texts that are under way and have at least so many events.
func (j *ownedJob) inProgress(least int) []Progress {
	var texts []Progress
	for _, it := range j.items {
		if it.phase != finished && len(it.events) >= least {
			texts = append(texts, it.progress())
		}
	}
	return texts
}

// countEvents counts the events of texts.
func countEvents(texts []Progress) int {
	n := 0
	for _, p := range texts {
		n += len(p.Events)
	}
	return n
}

// notifyWriter wakes the writer of the job.
func (j *ownedJob) notifyWriter() {
	select {
	case j.writeSignal <- struct{}{}:
	default:
	}
}

const (
	// progressSaveInterval is the time between two savings of texts that are under way: what
	// a lost owner's successor has to make again.
	progressSaveInterval = time.Second
	// minSavedEvents is the number of events from which a text is saved; shorter
	// ones are made again as fast.
	minSavedEvents = 8
	// resultBatchDelay is how long results gather before they are written together.
	resultBatchDelay = 30 * time.Millisecond
	// writeTimeout bounds one write of an owner.
	writeTimeout = 1500 * time.Millisecond
	// writeRetryDelay is the time between two tries to write.
	writeRetryDelay = 100 * time.Millisecond
)

// writeLoop lists the results of a job and saves its long texts, until the job ends
// or is lost. It is the only writer of the job's rows in this process, but for
// the handing back.
func (r *Runner) writeLoop(ctx context.Context, j *ownedJob) {
	ticker := time.NewTicker(progressSaveInterval)
	defer ticker.Stop()
	for {
		save := false
		select {
		case <-ctx.Done():
			return
		case <-j.writeSignal:
			sleep(ctx, resultBatchDelay)
		case <-ticker.C:
			save = true
		}
		r.mu.Lock()
		u, held := r.nextUpdate(j, save)
		r.mu.Unlock()
		if held.Ended || (len(u.Results) == 0 && len(u.Progress) == 0) {
			continue
		}
		if !r.writeUpdate(ctx, j, held, u) {
			sleep(ctx, writeRetryDelay)
			j.notifyWriter()
		}
	}
}

// nextUpdate returns what is to be written of a job.
func (r *Runner) nextUpdate(j *ownedJob, save bool) (Update, VersionedState) {
	u := Update{Results: resultsFittingTxn(j.pending), Waiting: j.countUnstarted()}
	if save {
		texts := j.inProgress(minSavedEvents)
		if n := countEvents(texts); n != j.savedEvents {
			u.Progress = texts
			j.savedEvents = n
		}
	}
	return u, j.held
}

// resultsFittingTxn returns the results that fit into one transaction.
func resultsFittingTxn(pending []Result) []Result {
	size := 0
	for i, p := range pending {
		size += len(p.Text)
		if size > maxTxnBytes/2 && i > 0 {
			return pending[:i]
		}
	}
	return pending
}

// writeUpdate returns whether all is written that was to be.
func (r *Runner) writeUpdate(ctx context.Context, j *ownedJob, held VersionedState, u Update) bool {
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	after, err := r.cfg.Store.Write(callCtx, j.sub.Job, held, u)
	switch {
	case err == nil:
		r.recordWrite(j, after, u.Results)
		return true
	case errors.Is(err, silltable.ErrConflict), errors.Is(err, silltable.ErrUnknown):
		r.cfg.Log.Warn("Reading a job again after a write.", zap.String("job", string(j.sub.Job)), silllog.Err(err))
		return r.resolveWrite(ctx, j)
	default:
		r.cfg.Log.Warn("Results not written.", zap.String("job", string(j.sub.Job)), zap.Int("results", len(u.Results)), silllog.Err(err))
		return false
	}
}

// recordWrite takes that the job has a new state and that results stand in its table.
func (r *Runner) recordWrite(j *ownedJob, after VersionedState, batch []Result) {
	r.cfg.Cache.Add(j.sub.Job, after.Published-len(batch), batch)
	r.mu.Lock()
	j.held = after
	j.pending = without(j.pending, batch)
	more := len(j.pending) > 0
	r.mu.Unlock()
	if more {
		j.notifyWriter()
	}
	r.cfg.Board.UpdateIfNewer(j.sub.Job, after)
	if len(batch) == 0 {
		return
	}
	r.cfg.Metrics.results.Add(float64(len(batch)))
	r.cfg.Log.Info("Listed results.", zap.String("job", string(j.sub.Job)), zap.Int("count", len(batch)),
		zap.Int("listed", after.Published), zap.Int("total", after.Total))
}

// without returns the results whose items are not in the batch.
func without(pending, batch []Result) []Result {
	gone := make(map[ItemID]bool, len(batch))
	for _, b := range batch {
		gone[b.Item] = true
	}
	kept := make([]Result, 0, len(pending))
	for _, p := range pending {
		if !gone[p.Item] {
			kept = append(kept, p)
		}
	}
	return kept
}

// resolveWrite reads what became of an owner's write. It returns false if that
// can't be told yet.
func (r *Runner) resolveWrite(ctx context.Context, j *ownedJob) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now, err := r.cfg.Store.State(ctx, j.sub.Job)
	if err != nil {
		return false
	}
	r.mu.Lock()
	held := j.held
	r.mu.Unlock()
	if now.Owner != r.cfg.Self || now.Epoch != held.Epoch {
		r.stopJob(j, "replaced")
		return true
	}
	if now.Published > held.Published {
		results, err := r.cfg.Store.Results(ctx, j.sub.Job, held.Published)
		if err != nil {
			return false
		}
		r.recordWrite(j, now, results[:min(len(results), now.Published-held.Published)])
		return true
	}
	r.mu.Lock()
	j.held = now
	r.mu.Unlock()
	r.cfg.Board.UpdateIfNewer(j.sub.Job, now)
	return now.Ended
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
