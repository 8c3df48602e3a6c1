package silllease

import (
	"math/rand/v2"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Why two processes never hold a lease at once:
//
// Clocks of different processes are never compared. The holder counts the lease
// duration from before it sent the renewal. A candidate counts it from after it
// first read the row's revision, which is later than the renewal took effect. The
// holder therefore stops at least twice the margin before a candidate can take
// over, provided that the clocks' rates differ by less than the margin over one
// duration.
//
// A lease has two rows. Renewals write only the lease row and acquisitions write
// both, so that a task's transactions can check the epoch row without conflicting
// with renewals.

// Owner identifies one run of a process as the holder of leases. It is never reused.
type Owner string

// Config configures a Holder.
type Config struct {
	// Name identifies the task and its shard, as in "scaler/POOL/ZONE".
	Name string
	// Owner must be new at every start of the process.
	Owner Owner
	// Former is the run of this instance before this one, which has ended; empty if unknown. A
	// lease that it held is free.
	Former Owner
	// Duration is how long the lease lasts after a renewal.
	Duration time.Duration
	// Margin allows for clocks that run at different rates; less than half of Duration.
	Margin time.Duration
	// RenewEvery is the time between two renewals; well below Duration less Margin.
	RenewEvery time.Duration
	// PollEvery is the mean time between two reads of a full-rate candidate.
	PollEvery time.Duration
	// MaxPollEvery bounds the mean time between two reads, which grows with the rank.
	MaxPollEvery time.Duration
	// Random jitters the reads of candidates. It must not be shared with other
	// users, as it is not safe for concurrent use.
	Random *rand.Rand
}

// Defaults of Config.
const (
	DefaultDuration     = 12 * time.Second
	DefaultMargin       = 2 * time.Second
	DefaultRenewEvery   = 4 * time.Second
	DefaultPollEvery    = 4 * time.Second
	DefaultMaxPollEvery = 15 * time.Minute
)

// WithDefaults returns the configuration with defaults in place of zero durations.
func (c Config) WithDefaults() Config {
	setDefault(&c.Duration, DefaultDuration)
	setDefault(&c.Margin, DefaultMargin)
	setDefault(&c.RenewEvery, DefaultRenewEvery)
	setDefault(&c.PollEvery, DefaultPollEvery)
	setDefault(&c.MaxPollEvery, DefaultMaxPollEvery)
	return c
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// Term is one uninterrupted period of holding a lease.
type Term struct {
	Epoch sillid.Epoch
	// EpochRow is the revision of the epoch row, which the next acquisition changes.
	EpochRow silltable.Revision
	// Deadline is the time from which on the holder must not act any more.
	Deadline time.Time
	// FormerEnd is a time from which on no former holder acted.
	FormerEnd time.Time
}

// Holder is the state machine of one process that competes for a lease. It decides
// when to read, acquire, renew and release the lease and returns the table calls
// as commands, at most one at a time; the caller executes them. It is not safe for
// concurrent use.
type Holder struct {
	cfg  Config
	rank int
	// pending is the kind of the call in flight; Wait if there is none.
	pending CommandKind
	// sentAt is a time before the call in flight was sent.
	sentAt time.Time
	next   time.Time

	// rowKnown is whether row and revision hold the last read or own write.
	rowKnown bool
	row      leaseRow
	revision silltable.Revision
	// firstSeenAt is when revision was first seen; no earlier than its write.
	firstSeenAt time.Time
	// acquirable is whether the last call was a read that found the lease free or expired.
	acquirable bool

	// holding is whether term is set. Its deadline may have passed.
	holding bool
	term    Term
	// outcomeUnknown is whether the row must be read to learn the outcome of a renewal.
	outcomeUnknown bool
	// effectiveAfter is a lower bound of the time at which a renewal of unknown
	// outcome took or will take effect; zero if there is no such renewal.
	effectiveAfter time.Time
}

// maxFormerReadDelay bounds the time to the first read of a process that is started again, since
// its former run may have held the lease. Many processes may be started at once.
const maxFormerReadDelay = 200 * time.Millisecond

// NewHolder returns a holder that has not read the lease row yet. Its first read
// is due at now for rank 0 and at a random time within the poll interval for
// the others; within maxFormerReadDelay if a former run is known.
func NewHolder(cfg Config, rank int, now time.Time) *Holder {
	h := &Holder{cfg: cfg.WithDefaults(), rank: rank, next: now}
	switch {
	case h.cfg.Former != "":
		h.next = now.Add(h.jitter(maxFormerReadDelay))
	case rank > 0:
		h.next = now.Add(h.jitter(h.pollInterval()))
	}
	return h
}

// NextTick returns when Tick is due next, unless a call is in flight.
func (h *Holder) NextTick() time.Time { return h.next }

// SetRank sets the rank of this process among the candidates for the lease.
func (h *Holder) SetRank(now time.Time, rank int) {
	improved := rank < h.rank
	h.rank = rank
	if !improved {
		return
	}
	latest := now.Add(h.pollInterval())
	if h.next.After(latest) {
		h.next = latest
	}
}

// Term returns the current term, and whether the lease is held at now.
func (h *Holder) Term(now time.Time) (Term, bool) {
	return h.term, h.holding && now.Before(h.term.Deadline)
}

// Tick expires the term if its deadline has passed and returns the call that is
// due at now; Wait if there is none.
func (h *Holder) Tick(now time.Time) Command {
	h.expire(now)
	if h.pending != Wait || now.Before(h.next) {
		return Command{}
	}
	if !h.holding {
		return h.readOrAcquire(now)
	}
	if h.outcomeUnknown {
		return h.read(now)
	}
	return h.commit(now, Renew, silltable.Txn{
		Checks: []silltable.Check{h.leaseCheck()},
		Writes: []silltable.Write{h.leaseWrite(h.cfg.Owner, h.term.Epoch)},
	})
}

// expire ends a term whose deadline has passed. The lease must then be acquired
// with a new epoch, even if no other process has acquired it meanwhile.
func (h *Holder) expire(now time.Time) {
	if !h.holding || now.Before(h.term.Deadline) {
		return
	}
	h.endTerm()
	h.next = now
}

func (h *Holder) endTerm() {
	h.holding = false
	h.clearUnknownRenewal()
	h.rowKnown = false
}

func (h *Holder) clearUnknownRenewal() {
	h.outcomeUnknown = false
	h.effectiveAfter = time.Time{}
}

func (h *Holder) readOrAcquire(now time.Time) Command {
	if !h.acquirable {
		return h.read(now)
	}
	h.acquirable = false
	epoch := h.row.Epoch + 1
	// Checking the lease row is enough: the epoch row is written only together with it.
	return h.commit(now, TryAcquire, silltable.Txn{
		Checks: []silltable.Check{h.leaseCheck()},
		Writes: []silltable.Write{
			h.leaseWrite(h.cfg.Owner, epoch),
			{Key: EpochKey(h.cfg.Name), Value: encode(epochRow{Holder: h.cfg.Owner, Epoch: epoch})},
		},
	})
}

// acquirableAt returns when the lease may be acquired if the row does not change
// until then. An absent or released row may be acquired at once, and so may a row
// that names this owner: it has no term, so no task runs under that row. The tasks of the
// former run ended with its process.
func (h *Holder) acquirableAt() time.Time {
	if h.row.Holder == "" || h.row.Holder == h.cfg.Owner || h.isFormerHolder() {
		return h.firstSeenAt
	}
	return h.firstSeenAt.Add(h.row.duration() + h.cfg.Margin)
}

// isFormerHolder returns whether the row names the former run of this instance.
func (h *Holder) isFormerHolder() bool { return h.cfg.Former != "" && h.row.Holder == h.cfg.Former }

func (h *Holder) read(now time.Time) Command {
	h.pending = ReadRow
	h.sentAt = now
	return Command{Kind: ReadRow, Key: Key(h.cfg.Name)}
}

func (h *Holder) commit(now time.Time, kind CommandKind, txn silltable.Txn) Command {
	h.pending = kind
	h.sentAt = now
	return Command{Kind: kind, Txn: txn}
}

func (h *Holder) leaseCheck() silltable.Check {
	return silltable.Check{Key: Key(h.cfg.Name), Revision: h.revision}
}

func (h *Holder) leaseWrite(owner Owner, epoch sillid.Epoch) silltable.Write {
	row := leaseRow{Holder: owner, Epoch: epoch, DurationMS: h.cfg.Duration.Milliseconds()}
	return silltable.Write{Key: Key(h.cfg.Name), Value: encode(row)}
}

// Release ends the term at once and returns the command that frees the lease, or
// Wait if there is no term. The caller must have stopped the task before.
func (h *Holder) Release(now time.Time) Command {
	h.expire(now)
	if !h.holding {
		return Command{}
	}
	txn := silltable.Txn{
		Checks: []silltable.Check{h.leaseCheck()},
		Writes: []silltable.Write{h.leaseWrite("", h.term.Epoch)},
	}
	h.endTerm()
	return h.commit(now, StepDown, txn)
}
