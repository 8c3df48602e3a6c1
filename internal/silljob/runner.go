package silljob

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silldialect"
	"github.com/wasabisill/wasabisill/internal/sillforward"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// RunnerConfig holds what a Runner needs.
type RunnerConfig struct {
	// Self is this run of the process.
	Self      NodeRun
	Store     *Store
	Board     *Board
	Cache     *Cache
	Directory *silltarget.Directory
	Pool      *silltransport.Pool
	Dialect   silldialect.Dialect
	Forwarder *sillforward.Forwarder
	Catalog   *sillcatalog.Holder
	// Zone is the availability zone of this process.
	Zone sillid.ZoneID
	// Owner returns the process that is to run new jobs of a model.
	Owner func(model sillid.ModelID) NodeRun
	// Rank returns the place of this process among those that may take over
	// jobs of a model, from 0; false if it may not.
	Rank func(model sillid.ModelID) (int, bool)
	// Alive returns whether a process is known to run.
	Alive   func(run NodeRun) bool
	Metrics *Metrics
	Log     *zap.Logger
}

// Runner runs the jobs of which this process is the owner.
type Runner struct {
	cfg RunnerConfig

	mu sync.Mutex
	// jobs are the owned jobs.
	jobs map[ID]*ownedJob
	// claiming holds the jobs that are being read or claimed.
	claiming map[ID]bool
	// orphanSince is when each job without a living owner was first seen.
	orphanSince map[ID]time.Time
	// leaving is whether the process hands its jobs back.
	leaving bool
	wake    chan struct{}
	group   *sillgroup.Group
}

const (
	// reviewEvery is how often jobs without an owner are looked for.
	reviewEvery = 200 * time.Millisecond
	// rankDelay is how long each rank waits for the ranks before it to take a job over.
	rankDelay = time.Second
	// readTimeout bounds the reading of a job that is taken over.
	readTimeout = 2 * time.Second
)

// NewRunner returns a runner; Run starts it.
func NewRunner(cfg RunnerConfig) *Runner {
	cfg.Log = cfg.Log.Named("jobs")
	return &Runner{
		cfg:         cfg,
		jobs:        make(map[ID]*ownedJob),
		claiming:    make(map[ID]bool),
		orphanSince: make(map[ID]time.Time),
		wake:        make(chan struct{}, 1),
		// Attempts outlive the context of Run until their jobs are handed back.
		group: sillgroup.New(context.Background()),
	}
}

// Run runs owned jobs until ctx ends, then hands them back.
func (r *Runner) Run(ctx context.Context) {
	defer r.group.Stop()
	r.group.Go(r.dispatchLoop)
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		changed := r.cfg.Board.Changed()
		r.review(time.Now())
		select {
		case <-ctx.Done():
			r.handBackAll()
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// dispatchLoop starts items whenever a target or an item may have become free.
func (r *Runner) dispatchLoop(ctx context.Context) {
	ticker := time.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		changed := r.cfg.Directory.Changed()
		r.dispatch(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-r.wake:
		case <-ticker.C:
			r.moveSlow(time.Now())
		}
	}
}

func (r *Runner) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Submit accepts a job. It returns false if the job had been accepted before.
// Errors: ErrForeign and those of Store.Accept.
func (r *Runner) Submit(ctx context.Context, sub *Submission) (bool, error) {
	owner := r.cfg.Owner(sub.Model)
	held, accepted, err := r.cfg.Store.Accept(ctx, sub, owner)
	if err != nil {
		return false, err
	}
	if held.Organisation != sub.Organisation {
		return false, ErrForeign
	}
	r.cfg.Log.Info("Job accepted.", zap.String("job", string(sub.Job)), zap.Bool("new", accepted),
		zap.String("owner", string(held.Owner)), zap.Int("items", held.Total),
		zap.String("model", string(sub.Model)), zap.Uint64("min-version", uint64(sub.MinVersion)))
	r.cfg.Board.Offer(sub.Job, held)
	if accepted && owner == r.cfg.Self {
		r.adopt(sub, held, nil, nil)
	}
	return accepted, nil
}

// review compares the owned jobs with the board.
func (r *Runner) review(now time.Time) {
	open := r.cfg.Board.Open()
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
func (r *Runner) dropClosed(open map[ID]Versioned) {
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
func (r *Runner) takeOver(now time.Time, job ID, v Versioned) {
	rank, ok := r.cfg.Rank(v.Model)
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
func (r *Runner) startReading(job ID, v Versioned, claim bool) {
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
			r.cfg.Log.Info("Job not taken over.", zap.String("job", string(job)), zap.Bool("claim", claim), silllog.Err(err))
		}
	})
}

func (r *Runner) read(ctx context.Context, job ID, v Versioned, claim bool) error {
	held := v
	if claim {
		after, err := r.cfg.Store.Claim(ctx, job, v, r.cfg.Self)
		if err != nil {
			return err
		}
		held = after
		r.cfg.Metrics.takeovers.Inc()
		r.cfg.Log.Info("Took a job over.", zap.String("job", string(job)), zap.String("from", string(v.Owner)),
			zap.Uint64("epoch", uint64(held.Epoch)), zap.Int("listed", held.Listed))
		r.cfg.Board.Offer(job, held)
	}
	sub, err := r.cfg.Store.Submission(ctx, job)
	if err != nil {
		return err
	}
	var results []Result
	if held.Listed > 0 {
		if results, err = r.cfg.Store.Results(ctx, job, 0); err != nil {
			return err
		}
	}
	var saved []Progress
	if held.Progressed {
		if saved, err = r.cfg.Store.Saved(ctx, job); err != nil {
			return err
		}
	}
	r.adopt(sub, held, results, saved)
	return nil
}

// adopt begins to run a job.
func (r *Runner) adopt(sub *Submission, held Versioned, results []Result, saved []Progress) {
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
	r.cfg.Cache.KeepUnfinished(texts)
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
		err := r.cfg.Store.HandBack(ctx, j.sub.Job, held, texts)
		r.cfg.Log.Info("Handing a job back.", zap.String("job", string(j.sub.Job)), zap.Int("texts", len(texts)), silllog.Err(err))
		if err == nil {
			j.group.Cancel()
			return
		}
		r.reconcile(ctx, j)
	}
}

// dispatch starts waiting items at targets with free slots, the most urgent first.
func (r *Runner) dispatch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return
	}
	r.followRoutes()
	full := make(map[demandKey]bool)
	for _, it := range r.waitingItems(now) {
		key := keyOf(it)
		if full[key] {
			continue
		}
		grant, ok := r.cfg.Directory.Pick(now, r.query(it))
		if !ok {
			full[key] = true
			continue
		}
		r.start(it, grant)
	}
}

// followRoutes has each job run where the configuration in force sends its
// route. The items of a job whose route is gone are given up.
func (r *Runner) followRoutes() {
	catalog := r.cfg.Catalog.Get()
	if catalog == nil {
		return
	}
	for _, j := range r.jobs {
		route := catalog.RouteByID(j.sub.Route)
		if route == nil {
			// The route may go on under another name.
			route = catalog.Route(j.sub.Host, j.sub.Items[0].Path)
		}
		switch {
		case route == nil:
			r.giveUpWaiting(j)
		case !route.Serves(j.pool):
			from := j.pool
			j.pool = route.Pool(0)
			r.cfg.Log.Info("Route of a job moved.", zap.String("job", string(j.sub.Job)), zap.String("from", string(from)),
				zap.String("to", string(j.pool)), zap.Uint64("config", uint64(catalog.Version)))
		}
	}
}

// giveUpWaiting gives up the items of a job that do not run.
func (r *Runner) giveUpWaiting(j *ownedJob) {
	for _, it := range j.items {
		if it.phase == waiting {
			it.phase = finished
			j.pending = append(j.pending, Result{Item: it.item.ID})
			r.cfg.Metrics.aborted.WithLabelValues("route removed").Inc()
		}
	}
	if len(j.pending) > 0 {
		r.cfg.Log.Info("Gave up items of a removed route.", zap.String("job", string(j.sub.Job)), zap.Int("count", len(j.pending)))
		j.signal()
	}
}

// demandKey is what the targets of an item must offer.
type demandKey struct {
	pool  sillid.PoolID
	model sillid.ModelID
	min   sillid.WeightVersion
	exact sillid.WeightVersion
}

func keyOf(it *itemRun) demandKey {
	sub := it.job.sub
	return demandKey{pool: it.job.pool, model: sub.Model, min: sub.MinVersion, exact: exactVersion(it)}
}

// exactVersion is the version that must go on with a text, or 0 if any may.
func exactVersion(it *itemRun) sillid.WeightVersion {
	if it.job.sub.SingleVersion && len(it.versions) > 0 {
		return it.versions[0]
	}
	return 0
}

func (r *Runner) query(it *itemRun) silltarget.Query {
	key := keyOf(it)
	return silltarget.Query{
		Pool: key.pool, Zone: r.cfg.Zone, Model: key.model, MinVersion: key.min, Exact: key.exact,
		Prefer: it.job.groupTarget[it.item.Group], Avoid: it.avoid, FreeOnly: true,
	}
}

func (r *Runner) waitingItems(now time.Time) []*itemRun {
	var list []*itemRun
	for _, j := range r.jobs {
		if j.held.Ended {
			continue
		}
		for _, it := range j.items {
			if it.phase == waiting && !now.Before(it.notBefore) {
				list = append(list, it)
			}
		}
	}
	slices.SortFunc(list, byUrgency)
	return list
}

func (r *Runner) start(it *itemRun, grant silltarget.Grant) {
	it.phase = running
	it.job.groupTarget[it.item.Group] = grant.ID
	if !it.fits(it.job.sub) {
		it.discard()
	}
	r.cfg.Log.Info("Item sent.", zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
		zap.String("target", string(grant.ID)), zap.Int("events", len(it.events)),
		zap.Uint64("version", uint64(grant.Versions[it.job.sub.Model])), zap.Uint64("min-version", uint64(it.job.sub.MinVersion)))
	it.job.group.Go(func(ctx context.Context) { r.attempt(ctx, it, grant) })
}
