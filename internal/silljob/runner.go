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
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// RunnerConfig holds the dependencies and settings of a Runner.
type RunnerConfig struct {
	// Self identifies this run of the process.
	Self      GatewayRun
	Store     *Store
	Board     *Board
	Cache     *Cache
	Directory *silltarget.Directory
	Pool      *silltransport.Pool
	Codec     sillheader.Codec
	Forwarder *sillforwarder.Forwarder
	// AcquirePermit gets a permit for an item at a target that names a limit on requests.
	AcquirePermit func(ctx context.Context, a sillpermit.Ask) sillpermit.Verdict
	Catalog       *sillcatalog.Holder
	// CatalogRevision returns the revision of the table service up to which Catalog is known
	// to be current; 0 if that is not known.
	CatalogRevision func() silltable.Revision
	// Zone is the availability zone of this process.
	Zone sillid.ZoneID
	// Region is the region of this process; empty if it is unknown.
	Region sillid.RegionID
	// Owner returns the process that becomes the owner of a new job.
	Owner func(p Placement) GatewayRun
	// TakeoverRank returns the rank of this process among those that may take over a job,
	// from 0; false if it may not.
	TakeoverRank func(p Placement) (int, bool)
	// Alive returns whether a process that a row of the given revision names is running, or
	// may have started since the processes that run were last read.
	Alive func(run GatewayRun, named silltable.Revision) bool
	// TableFails returns whether the table refused calls of this process lately; nil stands for
	// never. Only then owners are asked before their jobs are taken over.
	TableFails func() bool
	// Overdue returns whether a process has not renewed its row for longer than usual, so that it
	// may soon not be Alive.
	Overdue func(run GatewayRun) bool
	// ProbeOwner asks a process directly whether it runs, and returns an error if it does not
	// answer that; nil asks nobody.
	ProbeOwner func(ctx context.Context, run GatewayRun) error
	// HandoverTime is how long a process that stops goes on to release jobs of which it
	// becomes the owner: others learn later that it stops.
	HandoverTime time.Duration
	// MaxHeldBytes is what items of owned jobs may take that are read and not finished; 0 for no
	// limit. Each job may have one list of them beyond it.
	MaxHeldBytes int64
	Metrics      *Metrics
	Log          *zap.Logger
}

// Runner runs the jobs that this process owns, and takes over jobs whose owner is not
// alive. It is safe for concurrent use.
type Runner struct {
	cfg RunnerConfig

	mu sync.Mutex
	// jobs are the owned jobs.
	jobs map[ID]*ownedJob
	// loading holds the jobs that are being claimed or read from the store.
	loading map[ID]bool
	// failedLoads are the jobs that could not be claimed or read.
	failedLoads map[ID]*failedLoad
	// orphans are the open jobs whose owners are not alive by their rows.
	orphans map[ID]*orphan
	// probes are the newest probes of owners that are overdue or not alive.
	probes map[GatewayRun]*ownerProbe
	// probeDone notifies Run that a probe has ended; it buffers one signal.
	probeDone chan struct{}
	// attemptTime is the moving average of the time that a complete attempt takes at an
	// engine; 0 if unknown.
	attemptTime time.Duration
	// firstEventTime is the moving average of the time to the first event of an attempt; 0 if
	// unknown.
	firstEventTime time.Duration
	// shortages are the decisions on the pools of owned jobs.
	shortages map[sillid.PoolID]*shortage
	// history holds the groups of the jobs that were owned lately.
	history map[ID]jobRecord
	// heldBytes is what the items of owned jobs take that are read.
	heldBytes int64
	// stopping is set once the process releases its jobs.
	stopping bool
	// dispatchSignal notifies the dispatch loop; it buffers one signal.
	dispatchSignal chan struct{}
	group          *sillgroup.Group
}

const (
	// pollInterval is the time between two checks for jobs without a live owner, for
	// waiting items and for slow items, if no change triggers them earlier.
	pollInterval = 200 * time.Millisecond
	// takeoverRankDelay is how much longer than the rank before it each rank waits
	// before it takes over a job.
	takeoverRankDelay = time.Second
	// releaseTimeout bounds the release of a job.
	releaseTimeout = 2 * time.Second
)

// NewRunner returns a runner that Run starts.
func NewRunner(cfg RunnerConfig) *Runner {
	cfg.Log = cfg.Log.Named("jobs")
	return &Runner{
		cfg:            cfg,
		jobs:           make(map[ID]*ownedJob),
		loading:        make(map[ID]bool),
		failedLoads:    make(map[ID]*failedLoad),
		orphans:        make(map[ID]*orphan),
		probes:         make(map[GatewayRun]*ownerProbe),
		probeDone:      make(chan struct{}, 1),
		shortages:      make(map[sillid.PoolID]*shortage),
		history:        make(map[ID]jobRecord),
		dispatchSignal: make(chan struct{}, 1),
		// Attempts go on after the context of Run ends, until their jobs are released.
		group: sillgroup.New(context.Background()),
	}
}

// Run runs owned jobs until ctx ends, then releases them and those that it gets within
// HandoverTime.
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
			r.releaseAssigned()
			return
		case <-changed:
		case <-r.probeDone:
		case <-ticker.C:
		}
	}
}

// dispatchLoop dispatches items whenever a target may have a free slot or an item may
// have become ready, and migrates slow items at intervals.
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

// notifyDispatcher signals the dispatch loop without blocking.
func (r *Runner) notifyDispatcher() {
	select {
	case r.dispatchSignal <- struct{}{}:
	default:
	}
}

// Submit stores a job and starts it if this process becomes its owner. It returns
// false if the job had been accepted before. Errors: ErrIDTaken and those of
// Store.Accept.
func (r *Runner) Submit(ctx context.Context, sub *Submission) (bool, error) {
	if sub.Homes.Restricted() {
		sub.acceptedIn = r.cfg.Region
	}
	ctx = keepBodies(ctx, sub.Homes)
	packed, err := sub.pack()
	if err != nil {
		return false, err
	}
	owner := r.cfg.Owner(Placement{Model: sub.Model, Homes: sub.Homes, AcceptedIn: sub.acceptedIn})
	held, accepted, err := r.cfg.Store.accept(ctx, sub, packed, owner)
	if err != nil {
		return false, err
	}
	if held.Organisation != sub.Organisation {
		return false, ErrIDTaken
	}
	r.cfg.Log.Info("Job accepted.", zap.String("job", string(sub.Job)), zap.Bool("new", accepted),
		zap.String("owner", string(held.Owner)), zap.Int("items", held.Total),
		zap.String("model", string(sub.Model)), zap.Uint64("min-version", uint64(sub.MinVersion)))
	if accepted && owner == r.cfg.Self {
		r.runNew(sub, packed, held)
	} else {
		r.cfg.Board.UpdateIfNewer(sub.Job, held)
	}
	return accepted, nil
}
