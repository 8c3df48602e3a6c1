package sillusage

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// DefaultFlushInterval keeps 720 agents at 48 writes a second.
const DefaultFlushInterval = 15 * time.Second

// DefaultPruneEvery keeps 720 agents at 2.4 reads a second.
const DefaultPruneEvery = 20

// FlusherConfig configures a Flusher.
type FlusherConfig struct {
	Store *silltable.Store
	Meter *Meter
	// Now is the wall clock.
	Now func() time.Time
	// Interval is the time between two flushes.
	Interval time.Duration
	// InitialDelay spreads the first flushes of many agents; from 0 to Interval.
	InitialDelay time.Duration
	// PruneEvery is the number of flushes between two reads of the closed row, which
	// drop the totals of frozen windows; 0 for none.
	PruneEvery int
	// NewAgentID returns a new name for the meter after the old one was sealed.
	NewAgentID func() sillid.AgentID
	Logger     *zap.Logger
	Metrics    *Metrics
}

// Flusher writes a meter's totals to the table. It is not safe for concurrent use.
type Flusher struct {
	FlusherConfig
	registered bool
	// revision is the agent row's revision as last written or read.
	revision silltable.Revision
	flushes  int
	// orphans holds the unwritten records of this meter's sealed names.
	orphans map[sillid.AgentID][]Record
}

// NewFlusher returns a flusher whose meter is not registered.
func NewFlusher(cfg FlusherConfig) *Flusher {
	return &Flusher{FlusherConfig: cfg, orphans: make(map[sillid.AgentID][]Record)}
}

// Run flushes until ctx ends. After the last request has ended the caller calls
// Flush with final set.
func (f *Flusher) Run(ctx context.Context) {
	wait := f.InitialDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = f.Interval
		if err := f.Flush(ctx, false); err != nil {
			f.Logger.Warn("Usage flush failed; the next one repeats it.", zap.Error(err))
		}
	}
}

// Register creates the meter's row, so that no window is frozen without it. It is
// called before the agent serves requests, and by each flush until it succeeds.
func (f *Flusher) Register(ctx context.Context) error {
	if f.registered {
		return nil
	}
	id := f.Meter.DurableSequence().Agent
	row := agentRow{}
	// The row may exist already if the response to an earlier commit was lost.
	err := f.commitRow(ctx, id, row)
	if err != nil {
		return eris.Wrap(err, "sillusage.Register")
	}
	floor, err := f.firstWindow(ctx)
	if err != nil {
		return eris.Wrap(err, "sillusage.Register")
	}
	f.Meter.raiseFloor(floor)
	f.registered = true
	return nil
}

// firstWindow returns the earliest window whose freeze must include the row just
// created. A freeze reads the closed row before it lists the agents, and
// commits only if the closed row is unchanged; so a freeze of FirstOpen may have
// listed them before the row was created, but a freeze of the next window cannot.
func (f *Flusher) firstWindow(ctx context.Context) (Window, error) {
	row, err := f.Store.GetOrAbsent(ctx, closedKey)
	if err != nil {
		return 0, err
	}
	if row.Revision == silltable.Absent {
		return f.openFirst(ctx)
	}
	var closed closedRow
	if err := decodeRow(row, &closed); err != nil {
		return 0, err
	}
	return closed.FirstOpen.Next(f.Meter.length), nil
}

// openFirst creates the closed row. No window is frozen before it exists.
func (f *Flusher) openFirst(ctx context.Context) (Window, error) {
	first := WindowOf(f.Now(), f.Meter.length)
	_, err := f.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: closedKey, Revision: silltable.Absent}},
		Writes: []silltable.Write{{Key: closedKey, Value: encodeRow(closedRow{FirstOpen: first})}},
	})
	return first, err
}

// Flush writes the current totals. After a conflict or an unknown outcome it reads
// the row again for the next flush. A final flush promises that no record follows.
func (f *Flusher) Flush(ctx context.Context, final bool) error {
	if err := f.writeOrphans(ctx); err != nil {
		return eris.Wrap(err, "sillusage.Flush")
	}
	if err := f.Register(ctx); err != nil {
		return err
	}
	if err := f.prune(ctx); err != nil {
		return eris.Wrap(err, "sillusage.Flush")
	}
	id, row := f.Meter.snapshot(f.Now(), final)
	if err := f.commitRow(ctx, id, row); err != nil {
		return eris.Wrap(err, "sillusage.Flush")
	}
	f.Meter.markDurable(row.Covered)
	return nil
}

// commitRow writes the agent row if the meter is not sealed.
func (f *Flusher) commitRow(ctx context.Context, id sillid.AgentID, row agentRow) error {
	revisions, err := f.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{
			{Key: agentKey(id), Revision: f.revision},
			{Key: sealedKey(id), Revision: silltable.Absent},
		},
		Writes: []silltable.Write{{Key: agentKey(id), Value: encodeRow(row)}},
	})
	f.Metrics.countFlush(err)
	if err == nil {
		f.revision = revisions[0]
		return nil
	}
	if errors.Is(err, silltable.ErrUnavailable) {
		return err
	}
	return errors.Join(err, f.reread(ctx, id))
}

// reread reads the row's revision after a conflict or an unknown outcome, and
// restarts the meter if its row was sealed.
func (f *Flusher) reread(ctx context.Context, id sillid.AgentID) error {
	sealed, err := f.Store.GetOrAbsent(ctx, sealedKey(id))
	if err != nil {
		return err
	}
	row, err := f.Store.GetOrAbsent(ctx, agentKey(id))
	if err != nil {
		return err
	}
	f.revision = row.Revision
	var stored agentRow
	if row.Revision != silltable.Absent {
		if err := decodeRow(row, &stored); err != nil {
			return err
		}
	}
	if sealed.Revision == silltable.Absent {
		f.Meter.markDurable(stored.Covered)
		return nil
	}
	f.restartMeter(stored.Covered)
	return nil
}

// restartMeter continues under a new name after another process sealed this
// agent's row because it considered the agent dead.
func (f *Flusher) restartMeter(covered uint64) {
	old, pending := f.Meter.restart(f.NewAgentID(), covered)
	if len(pending) > 0 {
		f.orphans[old] = pending
	}
	f.registered = false
	f.revision = silltable.Absent
	f.Metrics.Renewals.Inc()
	f.Logger.Warn("The usage meter was sealed; counting continues under a new name.", zap.String("sealed", string(old)))
}

// selfWriter is the writer in the key of an orphan row that the agent itself wrote.
const selfWriter = "self"

func (f *Flusher) writeOrphans(ctx context.Context) error {
	for id, records := range f.orphans {
		err := writeOrphan(ctx, f.Store, id, selfWriter, records)
		if err != nil {
			return err
		}
		delete(f.orphans, id)
	}
	return nil
}

// prune drops the totals of frozen windows at every PruneEvery-th flush.
func (f *Flusher) prune(ctx context.Context) error {
	f.flushes++
	if f.PruneEvery == 0 || f.flushes%f.PruneEvery != 0 {
		return nil
	}
	row, err := f.Store.GetOrAbsent(ctx, closedKey)
	if err != nil || row.Revision == silltable.Absent {
		return err
	}
	var closed closedRow
	if err := decodeRow(row, &closed); err != nil {
		return err
	}
	f.Meter.dropFrozen(closed.FirstOpen)
	return nil
}
