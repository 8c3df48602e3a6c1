package silldirectgateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/sillwatch"
)

const (
	// feedWait is how long one call of a feed waits for changes. A connection that
	// delivers no data is detected after feedWait plus feedResponseTimeout.
	feedWait = 800 * time.Millisecond
	// feedResponseTimeout is the time limit of a call of a feed in addition to feedWait.
	feedResponseTimeout = 500 * time.Millisecond
	// pauseFast and pauseSlow are the times between two calls of a feed, in which
	// changes accumulate: fast for jobs and configuration, slow for other tables.
	pauseFast = 15 * time.Millisecond
	pauseSlow = 150 * time.Millisecond
)

// followers keep the process's views of the platform's tables up to date.
type followers struct {
	operator, registry, members, jobs *sillwatch.Follower
	// unreadConfig returns whether the newest configuration can't be read.
	unreadConfig func() bool
}

func newFollowers(adapter *Adapter, t tables, v *view, m *membership, log *zap.Logger) *followers {
	f := followerFactory{feed: t.feed, log: log}
	return &followers{
		unreadConfig: v.unreadConfig.Load,

		operator: f.make(adapter.OperatorTable, pauseFast, v.resetOperator, v.applyOperator),
		registry: f.make(adapter.RegistryTable, pauseSlow, v.resetTargets, v.applyTargets),
		members:  f.partitioned().make(sillcluster.Table, pauseSlow, m.reset, m.apply),
		jobs:     f.partitioned().make(silljob.StateTable, pauseFast, v.resetJobs, v.applyJobs),
	}
}

// all returns the followers in start order.
func (f *followers) all() []*sillwatch.Follower {
	return []*sillwatch.Follower{f.operator, f.registry, f.members, f.jobs}
}

// boardAge returns the age of the view of the jobs, and false before its first read.
func (f *followers) boardAge() (time.Duration, bool) { return f.jobs.Age(sillclock.Boot()) }

// membersAge returns the age of the view of the gateways, and false before its first read.
func (f *followers) membersAge() (time.Duration, bool) { return f.members.Age(sillclock.Boot()) }

// catalogRevision returns the revision up to which the configuration is known to be current;
// 0 if the newest one can't be read.
func (f *followers) catalogRevision() silltable.Revision {
	revision := f.operator.Revision()
	if f.unreadConfig() {
		return 0
	}
	return revision
}

// mayRun returns a function that returns whether a process that a row of a revision names is
// alive. A process that is not known yet may have started after the rows of the processes were
// last read.
func (f *followers) mayRun(m *membership) func(silljob.GatewayRun, silltable.Revision) bool {
	return func(run silljob.GatewayRun, named silltable.Revision) bool {
		// The revision is read first, so that the members are at least as new.
		current := f.members.Revision() >= named
		return m.alive(run) || (!current && !m.isKnown(run))
	}
}

// followerFactory makes followers that differ in their table and callbacks.
type followerFactory struct {
	feed  *silltable.Feed
	parts bool
	log   *zap.Logger
}

func (f followerFactory) partitioned() followerFactory {
	f.parts = true
	return f
}

func (f followerFactory) make(table string, pause time.Duration, reset func([]silltable.Row, time.Duration), apply func([]silltable.Change, time.Duration)) *sillwatch.Follower {
	return sillwatch.New(sillwatch.Config{
		Feed: f.feed, Table: table, Partitioned: f.parts,
		Wait: feedWait, ResponseTimeout: feedResponseTimeout, Pause: pause,
		Reset: reset, Apply: apply, Log: f.log, Now: sillclock.Boot,
	})
}

// resetJobs applies the states of jobs.
func (v *view) resetJobs(rows []silltable.Row, _ time.Duration) {
	if err := v.board.Apply(rows); err != nil {
		v.log.Error("Job state can't be decoded; skipping it.", silllog.Err(err))
	}
}

func (v *view) applyJobs(changes []silltable.Change, outage time.Duration) {
	for _, c := range changes {
		if job, ok := silljob.JobOf(c.Row.Key); ok && c.Removed {
			v.board.Remove(job)
		}
	}
	v.resetJobs(rowsOf(changes), outage)
}

// resetOperator applies the operator's configuration and the announced versions.
func (v *view) resetOperator(rows []silltable.Row, _ time.Duration) {
	v.resetEvacuations(rows)
	v.applyOperatorRows(rows)
}

func (v *view) applyOperator(changes []silltable.Change, _ time.Duration) {
	v.applyEvacuations(changes)
	v.applyOperatorRows(rowsOf(changes))
}

// rowsOf returns the rows of the changes that are not removals.
func rowsOf(changes []silltable.Change) []silltable.Row {
	rows := make([]silltable.Row, 0, len(changes))
	for _, c := range changes {
		if !c.Removed {
			rows = append(rows, c.Row)
		}
	}
	return rows
}
