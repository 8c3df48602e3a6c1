package silljob

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ownedJob is a job that this process runs. The runner's lock guards it.
type ownedJob struct {
	// sub is the job without its items.
	sub *Submission
	// items are those that are read, in the order of their positions, but for removed ones.
	items []*itemRun
	// read is the number of items that are read, and removed that of those which were finished and
	// are no longer in items: a job may have more items than fit into the memory.
	read, removed int
	// heldBytes is what the items take.
	heldBytes int64
	// roomSignal notifies the loader of the job that items are finished; it buffers one signal.
	roomSignal chan struct{}
	// firstPath is the path of the first item.
	firstPath string
	// published are the items that had published results when this process became the owner; nil
	// for none.
	published *publishedItems
	// saved are the saved generations of items that are not read yet.
	saved map[ItemID]Progress
	// pool is the pool that the job's route uses in the newest configuration that is known
	// of it.
	pool sillid.PoolID
	// homes are the regions to which the job's items may be sent: by the same configuration,
	// or as of the job's acceptance.
	homes sillhome.Homes
	// acquired is the revision of the state that made this process the owner.
	acquired silltable.Revision
	// awaitsConfig is whether the configuration in force may be older than the job.
	awaitsConfig bool
	// held is the newest state that this process wrote or read as the owner; the
	// next write is conditional on its revision.
	held VersionedState
	// pending are the results that are not published yet.
	pending []Result
	// writeSignal notifies the writer of pending results; it buffers one signal.
	writeSignal chan struct{}
	// savedEvents is the number of events in the progress that was last saved.
	savedEvents int
	// group runs the writer and the attempts of the job's items.
	group *sillgroup.Group
	// crowded is whether the job can't be complete when it is due.
	crowded bool
	// groupOrder is the place of each group in the order of a crowded job; nil for
	// others.
	groupOrder map[string]int
	// tokensMean is the mean of the expected tokens of the first tokensOf items.
	tokensMean float64
	tokensOf   int
	// groupTarget is the target of the last item sent of each group. The items of a
	// group prefer it because it has their prompt cached.
	groupTarget map[string]sillid.TargetID
	// returning holds the groups that the trainer waits for whichever others are complete; nil
	// until all items are read.
	returning map[string]bool
}

func newOwnedJob(ctx context.Context, sub *Submission, held VersionedState) *ownedJob {
	return &ownedJob{
		sub: sub, pool: sub.Pool, homes: held.Homes, acquired: held.Revision, held: held, group: sillgroup.New(ctx),
		groupTarget: make(map[string]sillid.TargetID), writeSignal: make(chan struct{}, 1), roomSignal: make(chan struct{}, 1),
	}
}

// addItem adds the item at the next position. It is finished if it has a published result, and
// resumes its saved generation else.
func (j *ownedJob) addItem(item *Item) *itemRun {
	it := &itemRun{job: j, item: item}
	if j.read == 0 {
		j.firstPath = item.Path
	}
	j.items = append(j.items, it)
	j.read++
	if ok, completed := j.published.take(item.ID, j.read-1); ok {
		it.phase, it.abandoned = finished, !completed
	} else if p, ok := j.saved[item.ID]; ok {
		it.resume(p)
	}
	delete(j.saved, item.ID)
	return it
}

// countUnloaded returns the number of items without a published result that are not read yet.
func (j *ownedJob) countUnloaded() int {
	return max(0, j.held.Total-j.read-j.published.unread())
}

// countUnstarted returns the number of items that no target has started.
func (j *ownedJob) countUnstarted() int {
	n := max(0, j.countUnloaded()-len(j.saved))
	for _, it := range j.items {
		if it.phase == waiting && !it.started {
			n++
		}
	}
	return n
}

// inProgress returns the generations in progress with at least minEvents events.
func (j *ownedJob) inProgress(minEvents int) []Progress {
	var generations []Progress
	for _, it := range j.items {
		if it.phase != finished && len(it.events) >= minEvents {
			generations = append(generations, it.progress())
		}
	}
	for _, p := range j.saved {
		if len(p.Events) >= minEvents {
			generations = append(generations, p)
		}
	}
	return generations
}

func countEvents(generations []Progress) int {
	n := 0
	for _, p := range generations {
		n += len(p.Events)
	}
	return n
}

// notifyWriter signals the writer of the job without blocking.
func (j *ownedJob) notifyWriter() {
	select {
	case j.writeSignal <- struct{}{}:
	default:
	}
}

const (
	// progressSaveInterval is the time between two writes of the generations in
	// progress. If the owner fails, its successor has to repeat up to this much of
	// them.
	progressSaveInterval = time.Second
	// minSavedEvents is the number of events from which a generation is saved.
	// Shorter ones take no longer to generate again.
	minSavedEvents = 8
	// resultBatchDelay is how long the writer waits for more results to write in
	// one transaction.
	resultBatchDelay = 30 * time.Millisecond
	// writeTimeout bounds one write of the owner.
	writeTimeout = 1500 * time.Millisecond
	// writeRetryDelay is the time until a failed write is retried.
	writeRetryDelay = 100 * time.Millisecond
)

// writeLoop publishes the results of a job and saves its generations in progress
// until this process stops running the job. Apart from release it is the only writer
// of the job's rows as the owner.
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

// nextUpdate returns the update to write and the state that it is conditional on. It
// contains the generations in progress if save is set and their events have changed.
func (r *Runner) nextUpdate(j *ownedJob, save bool) (Update, VersionedState) {
	u := Update{Results: resultsFittingTxn(j.pending), Waiting: j.countUnstarted()}
	if save {
		generations := j.inProgress(minSavedEvents)
		if n := countEvents(generations); n != j.savedEvents {
			u.Progress = generations
			j.savedEvents = n
		}
	}
	return u, j.held
}

// lastUpdate returns the update to write when this process stops running the job. The
// successor has to generate again what does not fit into its transaction.
func (j *ownedJob) lastUpdate() Update {
	return Update{Results: resultsFittingTxn(j.pending), Progress: j.inProgress(1), Waiting: j.countUnstarted()}
}

// resultsFittingTxn returns the first pending results that fit into half a transaction, but at
// least one.
func resultsFittingTxn(pending []Result) []Result {
	size := 0
	for i := range pending {
		size += pending[i].rowBytes()
		if size > maxTxnBytes/2 && i > 0 {
			return pending[:i]
		}
	}
	return pending
}

// writeUpdate writes an update. It returns false if the write must be retried.
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

// recordWrite records a successful write of the owner: the new state of the job and
// the batch of results that was published with it.
func (r *Runner) recordWrite(j *ownedJob, after VersionedState, batch []Result) {
	r.cfg.Cache.Add(j.sub.Job, after.Published-len(batch), batch)
	r.mu.Lock()
	j.held = after
	j.pending = without(j.pending, batch)
	more := len(j.pending) > 0
	r.mu.Unlock()
	j.notifyLoader()
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

// without returns the pending results whose items are not in the batch.
func without(pending, batch []Result) []Result {
	published := make(map[ItemID]bool, len(batch))
	for _, b := range batch {
		published[b.Item] = true
	}
	kept := make([]Result, 0, len(pending))
	for _, p := range pending {
		if !published[p.Item] {
			kept = append(kept, p)
		}
	}
	return kept
}

// resolveWrite reads the state of a job after a write whose outcome is unknown or
// that conflicted. It stops running the job if another process owns it. It returns
// false if the write must be retried.
func (r *Runner) resolveWrite(ctx context.Context, j *ownedJob) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	current, err := r.cfg.Store.State(ctx, j.sub.Job)
	if err != nil {
		return false
	}
	r.mu.Lock()
	held := j.held
	r.mu.Unlock()
	if current.Owner != r.cfg.Self || current.Epoch != held.Epoch {
		r.stopJob(j, "replaced")
		return true
	}
	if current.Published > held.Published {
		results, err := r.cfg.Store.Results(ctx, j.sub.Job, held.Published)
		if err != nil {
			return false
		}
		r.recordWrite(j, current, results[:min(len(results), current.Published-held.Published)])
		return true
	}
	r.mu.Lock()
	j.held = current
	r.mu.Unlock()
	r.cfg.Board.UpdateIfNewer(j.sub.Job, current)
	return current.Ended
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
