package sillusage

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllease"
)

// TaskConfig configures a Task.
type TaskConfig struct {
	Closer    *Closer
	Reporter  *Reporter
	Collector *Collector
	// Interval is the time between two steps. NewTask limits it to half the closer's
	// OrphanGrace, because the closer discards its observations after a longer pause.
	Interval time.Duration
	// CollectEvery is the number of steps between two collections.
	CollectEvery int
	// SettleTime is how long a new lease holder waits before its first step; at
	// least the longest timeout of a report.
	SettleTime time.Duration
	Logger     *zap.Logger
}

// Task closes and reports windows while the process holds the lease.
type Task struct {
	TaskConfig
}

// NewTask returns a task.
func NewTask(cfg TaskConfig) *Task {
	if cfg.Closer != nil {
		cfg.Interval = min(cfg.Interval, cfg.Closer.OrphanGrace/2)
	}
	return &Task{TaskConfig: cfg}
}

// Run waits for SettleTime and then takes a step per Interval until ctx ends,
// which the caller does when the lease is lost.
func (t *Task) Run(ctx context.Context, guard silllease.Guard) {
	if !sleep(ctx, t.SettleTime) {
		return
	}
	for n := 1; ; n++ {
		t.logFailure("close", t.Closer.Step(ctx, guard))
		t.logFailure("report", t.Reporter.Step(ctx, guard))
		if t.CollectEvery > 0 && n%t.CollectEvery == 0 {
			t.logFailure("collect", t.Collector.Step(ctx, guard))
		}
		if !sleep(ctx, t.Interval) {
			return
		}
	}
}

func (t *Task) logFailure(step string, err error) {
	if err != nil {
		t.Logger.Warn("Usage step failed; a later one repeats it.", zap.String("step", step), zap.Error(err))
	}
}

// sleep waits for d and returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
