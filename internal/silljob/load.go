package silljob

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllog"
)

const (
	// claimTimeout bounds the claim of a job.
	claimTimeout = 2 * time.Second
	// loadRetryDelay is the time until a failed read of a job is retried. It doubles with each
	// further failure if the job's rows can't be decoded, up to maxLoadRetryDelay: another build
	// may have to be started to read them.
	loadRetryDelay    = 200 * time.Millisecond
	maxLoadRetryDelay = 30 * time.Second
)

// failedLoad is what is remembered of a job that could not be claimed or read.
type failedLoad struct {
	// owner is the owner of the job after the attempt, as far as it is known.
	owner GatewayRun
	// unreadable is whether its rows can't be decoded.
	unreadable bool
	// delay is the time after which it is tried again, at retryAt.
	delay   time.Duration
	retryAt time.Time
}

// recordLoad records the outcome of an attempt to load a job and returns when the next one may
// follow. The caller holds r.mu.
func (r *Runner) recordLoad(now time.Time, job ID, err error) time.Duration {
	v, _ := r.cfg.Board.Get(job)
	before := r.failedLoads[job]
	if err == nil {
		delete(r.failedLoads, job)
	} else {
		f := &failedLoad{owner: v.Owner, unreadable: isUndecodable(err), delay: loadRetryDelay}
		if f.unreadable && before != nil && before.unreadable {
			f.delay = min(2*before.delay, maxLoadRetryDelay)
		}
		f.retryAt = now.Add(f.delay)
		r.failedLoads[job] = f
	}
	r.updateUnreadable()
	if f := r.failedLoads[job]; f != nil {
		return f.delay
	}
	return 0
}

// forgetFailedLoads forgets the jobs that this process has lost or that are no longer open.
func (r *Runner) forgetFailedLoads(open map[ID]VersionedState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for job, f := range r.failedLoads {
		if v, ok := open[job]; !ok || (v.Owner != r.cfg.Self && f.owner == r.cfg.Self) {
			delete(r.failedLoads, job)
		}
	}
	r.updateUnreadable()
}

func (r *Runner) updateUnreadable() {
	n := 0
	for _, f := range r.failedLoads {
		if f.unreadable {
			n++
		}
	}
	r.cfg.Metrics.unreadable.Set(float64(n))
}

// startLoading loads a job in the background, and claims it first if claim is set.
func (r *Runner) startLoading(job ID, v VersionedState, claim bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || r.loading[job] || r.jobs[job] != nil {
		return
	}
	if f := r.failedLoads[job]; f != nil && time.Now().Before(f.retryAt) {
		return
	}
	r.loading[job] = true
	r.group.Go(func(ctx context.Context) {
		err := r.load(ctx, job, v, claim)
		r.mu.Lock()
		delete(r.loading, job)
		delay := r.recordLoad(time.Now(), job, err)
		r.mu.Unlock()
		switch {
		case err == nil:
		case isUndecodable(err):
			r.cfg.Log.Error("A job can't be decoded; its items don't run here.", zap.String("job", string(job)), zap.Duration("retry-in", delay), silllog.Err(err))
		default:
			r.cfg.Log.Warn("Failed to load a job; retrying.", zap.String("job", string(job)), zap.Bool("claim", claim), silllog.Err(err))
		}
	})
}

// load claims a job if claim is set and starts to run it. Its items are read while it runs.
func (r *Runner) load(ctx context.Context, job ID, v VersionedState, claim bool) error {
	started := time.Now()
	held := v
	if claim {
		after, err := r.claim(ctx, job, v)
		if err != nil {
			return err
		}
		held = after
	}
	x, err := r.cfg.Store.index(keepBodies(ctx, held.Homes), job, held.Content)
	if err != nil {
		return err
	}
	published, err := r.loadPublished(ctx, job, held, x)
	if err != nil {
		return err
	}
	saved, err := r.loadSaved(ctx, job, held)
	if err != nil {
		return err
	}
	j := r.adopt(&x.Submission, held, published, saved)
	if j == nil {
		return nil
	}
	pager := r.cfg.Store.itemPager(job, held.Content, x)
	j.group.Go(func(ctx context.Context) { r.loadItems(keepBodies(ctx, held.Homes), j, pager, started) })
	return nil
}

// claim makes this process the owner of a job and returns the job's new state.
func (r *Runner) claim(ctx context.Context, job ID, v VersionedState) (VersionedState, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	held, err := r.cfg.Store.Claim(ctx, job, v, r.cfg.Self)
	if err != nil {
		return v, err
	}
	r.cfg.Metrics.takeovers.Inc()
	r.cfg.Log.Info("Took a job over.", zap.String("job", string(job)), zap.String("from", string(v.Owner)),
		zap.Uint64("epoch", uint64(held.Epoch)), zap.Int("listed", held.Published))
	r.cfg.Board.UpdateIfNewer(job, held)
	return held, nil
}

// loadPublished returns the items that have published results.
func (r *Runner) loadPublished(ctx context.Context, job ID, held VersionedState, x *contentIndex) (*publishedItems, error) {
	if held.Published == 0 {
		return nil, nil
	}
	var published *publishedItems
	if held.Content == "" {
		published = newPublishedItems(nil)
	} else {
		published = newPublishedItems(&x.Items)
	}
	pager := r.cfg.Store.resultPager(job, 0, held.Published)
	err := r.readPages(ctx, job, func(ctx context.Context) (bool, error) {
		results, err := pager.page(ctx)
		for i := range results {
			published.add(results[i].Item, results[i].Completed)
		}
		return pager.done, err
	})
	published.table = nil
	return published, err
}

// loadSaved returns the saved generations of a job.
func (r *Runner) loadSaved(ctx context.Context, job ID, held VersionedState) (map[ItemID]Progress, error) {
	saved := make(map[ItemID]Progress)
	if !held.HasProgress {
		return saved, nil
	}
	list, err := r.cfg.Store.SavedProgress(ctx, job)
	for _, p := range list {
		saved[p.Item] = p
	}
	return saved, err
}

// readPages reads pages until one is the last. It goes on after a failure where it stopped,
// until ctx ends or another process owns the job.
func (r *Runner) readPages(ctx context.Context, job ID, read func(ctx context.Context) (last bool, err error)) error {
	for {
		last, err := read(ctx)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err == nil && last:
			return nil
		case err == nil:
			continue
		}
		if v, ok := r.cfg.Board.Get(job); !ok || v.Owner != r.cfg.Self {
			return err
		}
		if isUndecodable(err) {
			return err
		}
		r.cfg.Metrics.loadRetries.Inc()
		r.cfg.Log.Warn("Failed to read a part of a job; retrying.", zap.String("job", string(job)), silllog.Err(err))
		sleep(ctx, loadRetryDelay)
	}
}

// loadItems reads the items of a job, which run as soon as they are read. It waits while as many
// items are read as may be held.
func (r *Runner) loadItems(ctx context.Context, j *ownedJob, pager *itemPager, started time.Time) {
	first := true
	err := r.readPages(ctx, j.sub.Job, func(ctx context.Context) (bool, error) {
		r.awaitRoom(ctx, j)
		items, err := pager.page(ctx)
		if len(items) > 0 && first {
			first = false
			r.cfg.Log.Info("First items of a job read.", zap.String("job", string(j.sub.Job)), zap.Int("items", len(items)), zap.Duration("took", time.Since(started)))
		}
		r.addItems(j, items)
		return pager.done, err
	})
	if err == nil {
		r.cfg.Log.Info("Job loaded.", zap.String("job", string(j.sub.Job)), zap.Int("items", pager.read), zap.Duration("took", time.Since(started)))
	}
}

// runNew runs a job that this process has accepted. A job whose items may not be held all at the
// same time is read from the store like that of another process.
func (r *Runner) runNew(sub *Submission, packed *PackedItems, held VersionedState) {
	r.mu.Lock()
	// Keeps an update of the board from loading the job meanwhile.
	r.loading[sub.Job] = true
	r.mu.Unlock()
	r.cfg.Board.UpdateIfNewer(sub.Job, held)
	adopted := r.fits(packed) && r.adoptNew(sub, packed, held)
	r.mu.Lock()
	delete(r.loading, sub.Job)
	r.mu.Unlock()
	if !adopted {
		r.startLoading(sub.Job, held, false)
	}
}

// adoptNew starts to run a new job with its items. It returns false if the job is to be read
// from the store.
func (r *Runner) adoptNew(sub *Submission, packed *PackedItems, held VersionedState) bool {
	decoded, err := packed.Items()
	if err != nil {
		r.cfg.Log.Error("Items of a new job can't be decoded; reading them from the store.", zap.String("job", string(sub.Job)), silllog.Err(err))
		return false
	}
	head := *sub
	head.Items, head.Packed = nil, nil
	items := make([]loadedItem, len(decoded))
	for i := range decoded {
		items[i].item = &decoded[i]
	}
	if j := r.adopt(&head, held, nil, nil); j != nil {
		r.addItems(j, items)
	}
	return true
}

// adopt starts to run a job without items from its published results and saved generations.
// It returns nil if the process runs the job already, or is stopping.
func (r *Runner) adopt(sub *Submission, held VersionedState, published *publishedItems, saved map[ItemID]Progress) *ownedJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping || r.jobs[sub.Job] != nil {
		return nil
	}
	j := newOwnedJob(r.group.Context(), sub, held)
	j.published, j.saved = published, saved
	r.jobs[sub.Job] = j
	j.group.Go(func(ctx context.Context) { r.writeLoop(ctx, j) })
	delete(r.orphans, sub.Job)
	return j
}

// addItems adds the items that follow in a job. They resume generations that this process has
// not finished in an earlier job.
func (r *Runner) addItems(j *ownedJob, items []loadedItem) {
	if len(items) == 0 {
		return
	}
	r.mu.Lock()
	if r.jobs[j.sub.Job] != j {
		r.mu.Unlock()
		return
	}
	r.removeFinished(j)
	for _, loaded := range items {
		it := j.addItem(loaded.item)
		r.hold(it)
		switch {
		case it.phase != waiting:
		case loaded.err != nil, r.isInvalid(j, loaded.item):
			r.awaitAbandoned(it)
		case len(it.events) == 0:
			r.resumeFromCache(it)
		}
	}
	r.mu.Unlock()
	r.notifyDispatcher()
}

// isInvalid returns whether an item can't be sent. Earlier builds accepted such items.
func (r *Runner) isInvalid(j *ownedJob, item *Item) bool {
	err := item.Validate()
	if err != nil {
		r.cfg.Log.Error("An item can't be sent.", zap.String("request", string(item.ID)), zap.String("job", string(j.sub.Job)), silllog.Err(err))
	}
	return err != nil
}

// resumeFromCache restores the generation in progress of an item that this process ran in an
// earlier job and did not finish.
func (r *Runner) resumeFromCache(it *itemRun) {
	if p, ok := r.cfg.Cache.Unfinished(it.job.sub, it.item.ID); ok {
		it.resume(p)
	}
}

// awaitAbandoned keeps an item whose row can't be used from running, and abandons it once the
// job allows that. The caller holds r.mu.
func (r *Runner) awaitAbandoned(it *itemRun) {
	it.phase, it.unusable = scoring, true
	it.job.group.Go(func(ctx context.Context) {
		if at := it.job.sub.AbandonAt(); !at.IsZero() {
			sleep(ctx, time.Until(at))
		}
		if ctx.Err() == nil {
			r.finish(it, Result{Item: it.item.ID}, "item can't be sent")
		}
	})
}
