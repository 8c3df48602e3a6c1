package silllease

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// RunnerConfig configures a Runner.
type RunnerConfig struct {
	// Lease is the lease that the task runs under.
	Lease Config
	Store *silltable.Store
	// Now reads the monotonic clock.
	Now func() time.Time
	// Rank returns the current rank of the process among the gateways for this lease.
	Rank func() int
	// CallTimeout bounds each table call.
	CallTimeout time.Duration
	// SettleTime is how long a new holder waits before it starts the task, except
	// in the first term of the lease. It must be at least the longest timeout of a
	// call that the task makes to an interface that ignores fencing numbers: after
	// that, calls of the former holder have arrived or never will. The time for which
	// the lease was free before counts.
	SettleTime time.Duration
	// Task runs the control task until its context is cancelled, which happens when
	// the lease is lost. If it returns earlier, the runner releases the lease.
	Task func(ctx context.Context, guard Guard)
	// Log is the logger of the process; nil disables logging.
	Log *zap.Logger
	// Metrics counts terms and table calls; nil disables counting.
	Metrics *Metrics
}

// maxSleep bounds how long a runner sleeps before it reads its rank again.
const maxSleep = 10 * time.Second

// Runner competes for one lease and runs a task while it holds the lease.
type Runner struct {
	cfg    RunnerConfig
	holder *Holder
	term   *runningTerm
}

// runningTerm is the running task of one term.
type runningTerm struct {
	group    *sillgroup.Group
	deadline atomic.Pointer[time.Time]
	// expiry cancels the task at the deadline, even while the runner waits for a
	// table call.
	expiry *time.Timer
	// done is closed when the task has returned.
	done chan struct{}
}

// NewRunner returns a runner. It does nothing until Run is called.
func NewRunner(cfg RunnerConfig) *Runner {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	cfg.Log = cfg.Log.Named("lease").With(zap.String("lease", cfg.Lease.Name))
	return &Runner{cfg: cfg}
}

// Run competes for the lease until ctx ends. It then stops the task and frees the
// lease before it returns.
func (r *Runner) Run(ctx context.Context) {
	r.holder = NewHolder(r.cfg.Lease, r.cfg.Rank(), r.cfg.Now())
	for ctx.Err() == nil {
		r.sleep(ctx)
		if ctx.Err() != nil {
			break
		}
		if _, held := r.holder.Term(r.cfg.Now()); held && r.taskEnded() {
			r.release(ctx)
			continue
		}
		now := r.cfg.Now()
		r.holder.SetRank(now, r.cfg.Rank())
		r.execute(ctx, r.holder.Tick(now))
		r.applyTerm(ctx)
	}
	r.release(ctx)
}

func (r *Runner) sleep(ctx context.Context) {
	d := min(r.holder.NextTick().Sub(r.cfg.Now()), maxSleep)
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	var done chan struct{}
	if r.term != nil {
		done = r.term.done
	}
	select {
	case <-ctx.Done():
	case <-done:
	case <-timer.C:
	}
}

func (r *Runner) taskEnded() bool {
	if r.term == nil {
		return false
	}
	select {
	case <-r.term.done:
		return true
	default:
		return false
	}
}

func (r *Runner) execute(ctx context.Context, c Command) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	switch c.Kind {
	case Wait:
	case ReadRow:
		row, err := r.cfg.Store.GetOrAbsent(ctx, c.Key)
		r.cfg.Metrics.call(c.Kind, err)
		r.holder.HandleRead(r.cfg.Now(), row, err)
	default:
		revisions, err := r.cfg.Store.Commit(ctx, c.Txn)
		r.cfg.Metrics.call(c.Kind, err)
		r.holder.HandleCommit(r.cfg.Now(), revisions, err)
	}
}

// applyTerm starts the task, extends its deadline or stops it, according to the
// holder's current term.
func (r *Runner) applyTerm(ctx context.Context) {
	now := r.cfg.Now()
	term, held := r.holder.Term(now)
	switch {
	case held && r.term == nil:
		r.startTask(ctx, term)
	case held:
		r.term.deadline.Store(&term.Deadline)
		r.term.expiry.Reset(term.Deadline.Sub(now))
	case r.term != nil:
		r.cfg.Metrics.lost.Inc()
		r.cfg.Log.Warn("Lost the lease; stopping its task.")
		r.stopTask()
	}
}

func (r *Runner) startTask(ctx context.Context, term Term) {
	r.cfg.Metrics.acquired.Inc()
	r.cfg.Log.Info("Took the lease.", zap.Uint64("epoch", uint64(term.Epoch)))
	t := &runningTerm{group: sillgroup.New(ctx), done: make(chan struct{})}
	t.deadline.Store(&term.Deadline)
	t.expiry = time.AfterFunc(term.Deadline.Sub(r.cfg.Now()), t.group.Cancel)
	guard := Guard{
		Epoch:  term.Epoch,
		MayAct: func(now time.Time) bool { return now.Before(*t.deadline.Load()) },
		Check:  silltable.Check{Key: EpochKey(r.cfg.Lease.Name), Revision: term.EpochRow},
	}
	settle := r.cfg.SettleTime - max(r.cfg.Now().Sub(term.FormerEnd), 0)
	if term.Epoch == 1 {
		settle = 0
	}
	r.term = t
	t.group.Go(func(ctx context.Context) {
		defer close(t.done)
		if waitFor(ctx, settle) {
			r.cfg.Task(ctx, guard)
		}
	})
}

// waitFor waits for d. It returns false if ctx ended first.
func waitFor(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// stopTask cancels the task and waits until it has returned, so that two terms of
// one process never overlap.
func (r *Runner) stopTask() {
	r.term.deadline.Store(&time.Time{})
	r.term.group.Stop()
	r.term.expiry.Stop()
	r.term = nil
}

// release stops the task and frees the lease, unless the lease expired while the
// task was stopping.
func (r *Runner) release(ctx context.Context) {
	if r.term == nil {
		return
	}
	r.stopTask()
	r.execute(context.WithoutCancel(ctx), r.holder.Release(r.cfg.Now()))
	r.cfg.Log.Info("Released the lease.")
}
