// Package sillgroupcommit writes the rows that each gateway keeps about itself. One
// gateway of an availability zone, the leader, gathers the writes of the others and
// commits them in one transaction (group commit). So the number of transactions follows
// the number of zones, not that of gateways: a partition handles its transactions one
// after another.
//
// A gateway whose leader does not confirm a write in time writes directly. So a leader
// that is lost, paused or cut off delays one write of each follower.
package sillgroupcommit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

const (
	// gatherTime is how long a leader gathers writes before it commits them.
	gatherTime = 200 * time.Millisecond
	// leaderTimeout is the time limit of a write through the leader. A direct write has
	// to follow before the writer counts as dead.
	leaderTimeout = 400 * time.Millisecond
	// leaderBackoff is how long a leader that failed is not asked again.
	leaderBackoff = 3 * time.Second
	// maxWriteAge is the age from which a leader drops a gathered write: its writer has
	// written directly since, so it must not replace the newer row.
	maxWriteAge = 500 * time.Millisecond
	// commitTimeout is the time limit of a leader's transaction.
	commitTimeout = 600 * time.Millisecond
	// maxTxnWrites and maxTxnBytes bound one transaction of a leader; the platform
	// takes 100 entries and 1 MB of encoded rows.
	maxTxnWrites = 90
	maxTxnBytes  = 512 << 10
)

// Leader is the gateway that commits for this one.
type Leader struct {
	// Self is whether this gateway is the leader.
	Self bool
	// Address is where other gateways reach the leader; empty if there is none.
	Address string
}

// Config holds the dependencies of a Committer.
type Config struct {
	Table *silltable.Store
	// Leader returns the leader of this gateway at present.
	Leader func() Leader
	// Post sends a message to the gateway at an address and returns whether that
	// gateway confirmed it.
	Post func(ctx context.Context, address, path string, body []byte) bool
	// Now reads a clock that goes on while the process is suspended.
	Now func() time.Time
	// Registerer registers the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
	Log        *zap.Logger
}

// Committer writes rows that no other process writes, through the leader if there is
// one. It is safe for concurrent use.
type Committer struct {
	cfg     Config
	writes  *prometheus.CounterVec
	commits *prometheus.CounterVec
	// opened signals that gathering has begun; it buffers one signal.
	opened chan struct{}
	// stopped is closed once Run has returned: no gathered writes are committed.
	stopped chan struct{}

	mu sync.Mutex
	// gathered holds the writes for the next transactions, in order of arrival.
	gathered []*pendingWrites
	// failedUntil is until when each leader that failed is not asked.
	failedUntil map[string]time.Time
}

// pendingWrites are the writes of one call.
type pendingWrites struct {
	partition  string
	writes     []silltable.Write
	receivedAt time.Time
	// result receives the outcome; it buffers one value.
	result chan error
}

// New returns a committer. Run must be called once. Before that gathered writes wait;
// after its end the committer writes its own rows directly and refuses those of others.
func New(cfg Config) *Committer {
	cfg.Log = cfg.Log.Named("group-commit")
	c := &Committer{
		cfg: cfg, opened: make(chan struct{}, 1), stopped: make(chan struct{}), failedUntil: make(map[string]time.Time),
		writes:  sillmetric.CounterVec("wasabisill_own_row_writes_total", "Writes of rows that the gateway keeps about itself, by way (leader, self, direct) and outcome (done, failed).", "way", "outcome"),
		commits: sillmetric.CounterVec("wasabisill_group_commits_total", "Transactions with gathered writes, by outcome (done, failed).", "outcome"),
	}
	if cfg.Registerer != nil {
		cfg.Registerer.MustRegister(c.writes, c.commits)
	}
	return c
}

// Commit writes rows of one partition that only this process writes. They may be written
// twice, also after an error; a reader orders them by what the rows say. Errors:
// ErrUnavailable, ErrUnknown of package silltable, and the error of ctx.
func (c *Committer) Commit(ctx context.Context, partition string, writes []silltable.Write) error {
	leader := c.cfg.Leader()
	switch {
	case leader.Self:
		err := c.gather(ctx, partition, writes)
		c.count("self", err)
		if !errors.Is(err, errStopped) {
			return err
		}
	case leader.Address != "" && c.throughLeader(ctx, leader.Address, partition, writes):
		return nil
	}
	_, err := c.cfg.Table.Commit(ctx, silltable.Txn{Writes: writes})
	c.count("direct", err)
	return err
}

func (c *Committer) count(way string, err error) {
	c.writes.WithLabelValues(way, outcomeOf(err)).Inc()
}

func outcomeOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}

var errNotConfirmed = eris.New("sillgroupcommit: the leader did not confirm the write in time")

// throughLeader writes through the leader and returns whether the leader confirmed it.
func (c *Committer) throughLeader(ctx context.Context, address, partition string, writes []silltable.Write) bool {
	if c.inBackoff(address) {
		return false
	}
	body, err := encodeWrites(partition, writes)
	if err != nil {
		c.cfg.Log.Error("Writes can't be encoded.", silllog.Err(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if c.cfg.Post(ctx, address, Path, body) {
		c.count("leader", nil)
		return true
	}
	c.count("leader", errNotConfirmed)
	c.backOff(address)
	return false
}

func (c *Committer) inBackoff(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, failed := c.failedUntil[address]
	if failed && !c.cfg.Now().Before(until) {
		delete(c.failedUntil, address)
		return false
	}
	return failed
}

func (c *Committer) backOff(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failedUntil[address] = c.cfg.Now().Add(leaderBackoff)
	c.cfg.Log.Info("Leader did not confirm a write; writing directly.", zap.String("leader", address))
}

// errStopped is returned for writes that are not committed because Run has returned.
var errStopped = eris.Wrap(silltable.ErrUnavailable, "sillgroupcommit: the committer has stopped")

// gather adds writes to the next transaction and waits for its outcome.
func (c *Committer) gather(ctx context.Context, partition string, writes []silltable.Write) error {
	p := &pendingWrites{partition: partition, writes: writes, receivedAt: c.cfg.Now(), result: make(chan error, 1)}
	c.mu.Lock()
	c.gathered = append(c.gathered, p)
	c.mu.Unlock()
	select {
	case c.opened <- struct{}{}:
	default:
	}
	select {
	case err := <-p.result:
		return err
	case <-c.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run commits gathered writes until ctx ends.
func (c *Committer) Run(ctx context.Context) {
	defer close(c.stopped)
	group := sillgroup.New(ctx)
	defer group.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.opened:
		}
		timer := time.NewTimer(gatherTime)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		for _, txn := range splitTxns(c.takeGathered()) {
			group.Go(func(ctx context.Context) { c.commit(ctx, txn) })
		}
	}
}

// takeGathered removes and returns the gathered writes that are not too old.
func (c *Committer) takeGathered() []*pendingWrites {
	c.mu.Lock()
	gathered := c.gathered
	c.gathered = nil
	c.mu.Unlock()
	now := c.cfg.Now()
	fresh := gathered[:0]
	for _, p := range gathered {
		if now.Sub(p.receivedAt) > maxWriteAge {
			p.result <- silltable.ErrUnavailable
			continue
		}
		fresh = append(fresh, p)
	}
	return fresh
}

// commit runs one transaction and passes its outcome to the waiting calls.
func (c *Committer) commit(ctx context.Context, calls []*pendingWrites) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := c.cfg.Table.Commit(ctx, silltable.Txn{Writes: newestWrites(calls)})
	c.commits.WithLabelValues(outcomeOf(err)).Inc()
	if err != nil {
		c.cfg.Log.Warn("Gathered writes not committed.", zap.Int("calls", len(calls)), silllog.Err(err))
	}
	for _, p := range calls {
		p.result <- err
	}
}

// splitTxns splits calls into transactions of one partition each, within maxTxnWrites and
// maxTxnBytes. A call that is larger by itself gets a transaction of its own.
func splitTxns(calls []*pendingWrites) [][]*pendingWrites {
	byPartition := make(map[string][]*pendingWrites)
	for _, p := range calls {
		byPartition[p.partition] = append(byPartition[p.partition], p)
	}
	var txns [][]*pendingWrites
	for _, partition := range byPartition {
		txns = append(txns, splitPartition(partition)...)
	}
	return txns
}

func splitPartition(calls []*pendingWrites) [][]*pendingWrites {
	var txns [][]*pendingWrites
	var txn []*pendingWrites
	rows, size := 0, 0
	for _, p := range calls {
		callSize := sizeOf(p.writes)
		if len(txn) > 0 && (rows+len(p.writes) > maxTxnWrites || size+callSize > maxTxnBytes) {
			txns = append(txns, txn)
			txn, rows, size = nil, 0, 0
		}
		txn = append(txn, p)
		rows += len(p.writes)
		size += callSize
	}
	if len(txn) > 0 {
		txns = append(txns, txn)
	}
	return txns
}

func sizeOf(writes []silltable.Write) int {
	size := 0
	for _, w := range writes {
		size += len(w.Key) + len(w.Value)
	}
	return size
}

// newestWrites returns the writes of calls in order, of each row only the last one: a
// transaction may write a row once.
func newestWrites(calls []*pendingWrites) []silltable.Write {
	last := make(map[string]int)
	var writes []silltable.Write
	for _, p := range calls {
		for _, w := range p.writes {
			if i, ok := last[w.Key]; ok {
				writes[i] = w
				continue
			}
			last[w.Key] = len(writes)
			writes = append(writes, w)
		}
	}
	return writes
}
