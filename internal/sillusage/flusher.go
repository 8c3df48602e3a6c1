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

// FlusherConfig holds what a flusher needs.
type FlusherConfig struct {
	Store *silltable.Store
	Meter *Meter
	// Now is the wall clock.
	Now func() time.Time
	// Interval is the time between two flushes.
	Interval time.Duration
	// InitialDelay spreads the first flushes of many agents; from 0 to Interval.
	InitialDelay time.Duration
	// PruneEvery is the number of flushes between two reads of the closed windows.
	PruneEvery int
	// NewAgentID names the meter anew if the old name was sealed.
	NewAgentID func() sillid.AgentID
	Logger     *zap.Logger
	Metrics    *Metrics
}

// Flusher carries a meter's sums to the table. One goroutine uses it.
type Flusher struct {
	FlusherConfig
	registered bool
	// revision is that of the agent row as last written or read.
	revision silltable.Revision
	flushes  int
	// orphans are records of sealed names of this meter, not written yet.
	orphans map[sillid.AgentID][]Record
}

// NewFlusher returns a flusher that has written nothing.
func NewFlusher(cfg FlusherConfig) *Flusher {
	return &Flusher{FlusherConfig: cfg, orphans: make(map[sillid.AgentID][]Record)}
}

// Run flushes until ctx ends. The caller flushes with final set after the last
// request has ended.
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
			f.Logger.Warn("usage: flush failed", zap.Error(err))
		}
	}
}

// Register makes the meter's row, so that no window closes without it. It is
// tried before the agent serves, and again by each flush until it succeeds.
func (f *Flusher) Register(ctx context.Context) error {
	if f.registered {
		return nil
	}
	id := f.Meter.DurableSequence().Agent
	row := agentRow{}
	// A row that was committed with its answer lost is there already.
	err := f.commitRow(ctx, id, row)
	if err != nil {
		return eris.Wrap(err, "sillusage.Register")
	}
	floor, err := f.firstWindow(ctx)
	if err != nil {
		return eris.Wrap(err, "sillusage.Register")
	}
	f.Meter.raise(floor)
	f.registered = true
	return nil
}

// firstWindow returns the earliest window whose closing is sure to see the row
// just made. A freeze reads the closed row before it lists the agents, and
// commits only if the closed row is unchanged; so a freeze of FirstOpen may have
// listed before the row was made, but a freeze of the next window cannot.
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

// openFirst makes the closed row. Nobody froze a window before it is there.
func (f *Flusher) openFirst(ctx context.Context) (Window, error) {
	first := WindowOf(f.Now(), f.Meter.length)
	_, err := f.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: closedKey, Revision: silltable.Absent}},
		Writes: []silltable.Write{{Key: closedKey, Value: encodeRow(closedRow{FirstOpen: first})}},
	})
	return first, err
}

// Flush writes the sums as of now. After an error with an unknown outcome the
// next flush reads the row. A final flush promises that no record follows.
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
	f.Meter.committed(row.Covered)
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
	f.Metrics.flush(err)
	if err == nil {
		f.revision = revisions[0]
		return nil
	}
	if errors.Is(err, silltable.ErrUnavailable) {
		return err
	}
	return errors.Join(err, f.reread(ctx, id))
}

// reread learns the row's revision after a conflict or a lost answer.
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
		f.Meter.committed(stored.Covered)
		return nil
	}
	f.renew(stored.Covered)
	return nil
}

// renew goes on under a fresh name: another process took this agent for dead.
func (f *Flusher) renew(covered uint64) {
	old, pending := f.Meter.renew(f.NewAgentID(), covered)
	if len(pending) > 0 {
		f.orphans[old] = pending
	}
	f.registered = false
	f.revision = silltable.Absent
	f.Metrics.Renewals.Inc()
	f.Logger.Warn("usage: meter was sealed, counting under a fresh name", zap.String("sealed", string(old)))
}

// selfWriter names the agent itself in the key of an orphan row.
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

// prune drops the totals of frozen windows once in a while.
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
	f.Meter.forget(closed.FirstOpen)
	return nil
}
