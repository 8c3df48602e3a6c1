package silljob

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillforwarder"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// RunnerConfig holds what a Runner needs.
type RunnerConfig struct {
	// Self is this run of the process.
	Self      GatewayRun
	Store     *Store
	Board     *Board
	Cache     *Cache
	Directory *silltarget.Directory
	Pool      *silltransport.Pool
	Codec     sillheader.Codec
	Forwarder *sillforwarder.Forwarder
	Catalog   *sillcatalog.Holder
	// Zone is the availability zone of this process.
	Zone sillid.ZoneID
	// Owner returns the process that is to run new jobs of a model.
	Owner func(model sillid.ModelID) GatewayRun
	// TakeoverRank returns the place of this process among those that may take over
	// jobs of a model, from 0; false if it may not.
	TakeoverRank func(model sillid.ModelID) (int, bool)
	// Alive returns whether a process is known to run.
	Alive   func(run GatewayRun) bool
	Metrics *Metrics
	Log     *zap.Logger
}

// Runner runs the jobs of which this process is the owner.
type Runner struct {
	cfg RunnerConfig

	mu sync.Mutex
	// jobs are the owned jobs.
	jobs map[ID]*ownedJob
	// loading holds the jobs that are being read or claimed.
	loading map[ID]bool
	// orphanSince is when each job without a living owner was first seen.
	orphanSince map[ID]time.Time
	// stopping is whether the process hands its jobs back.
	stopping       bool
	dispatchSignal chan struct{}
	group          *sillgroup.Group
}

const (
	// pollInterval is how often jobs without an owner are looked for.
	pollInterval = 200 * time.Millisecond
	// takeoverRankDelay is how long each rank waits for the ranks before it to take a job over.
	takeoverRankDelay = time.Second
	// loadTimeout bounds the reading of a job that is taken over.
	loadTimeout = 2 * time.Second
)

// NewRunner returns a runner; Run starts it.
func NewRunner(cfg RunnerConfig) *Runner {
	cfg.Log = cfg.Log.Named("jobs")
	return &Runner{
		cfg:            cfg,
		jobs:           make(map[ID]*ownedJob),
		loading:        make(map[ID]bool),
		orphanSince:    make(map[ID]time.Time),
		dispatchSignal: make(chan struct{}, 1),
		// Attempts outlive the context of Run until their jobs are handed back.
		group: sillgroup.New(context.Background()),
	}
}

// Run runs owned jobs until ctx ends, then hands them back.
func (r *Runner) Run(ctx context.Context) {
	defer r.group.Stop()
	r.group.Go(r.dispatchLoop)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		changed := r.cfg.Board.Changed()
		r.reconcileOwnership(time.Now())
		select {
		case <-ctx.Done():
			r.releaseAll()
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// dispatchLoop starts items whenever a target or an item may have become free.
func (r *Runner) dispatchLoop(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		changed := r.cfg.Directory.Changed()
		r.dispatch(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-r.dispatchSignal:
		case <-ticker.C:
			r.migrateSlowItems(time.Now())
		}
	}
}

func (r *Runner) notifyDispatcher() {
	select {
	case r.dispatchSignal <- struct{}{}:
	default:
	}
}

// Submit accepts a job. It returns false if the job had been accepted before.
// Errors: ErrIDTaken and those of Store.Accept.
func (r *Runner) Submit(ctx context.Context, sub *Submission) (bool, error) {
	owner := r.cfg.Owner(sub.Model)
	held, accepted, err := r.cfg.Store.Accept(ctx, sub, owner)
	if err != nil {
		return false, err
	}
	if held.Organisation != sub.Organisation {
		return false, ErrIDTaken
	}
	r.cfg.Log.Info("Job accepted.", zap.String("job", string(sub.Job)), zap.Bool("new", accepted),
		zap.String("owner", string(held.Owner)), zap.Int("items", held.Total),
		zap.String("model", string(sub.Model)), zap.Uint64("min-version", uint64(sub.MinVersion)))
	r.cfg.Board.UpdateIfNewer(sub.Job, held)
	if accepted && owner == r.cfg.Self {
		r.adopt(sub, held, nil, nil)
	}
	return accepted, nil
}
