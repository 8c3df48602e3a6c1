package silllease

import (
	"math/rand/v2"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The strategy of a lease.
//
// Clocks of different processes are never compared. A holder counts its lease
// from before it sent the renewal; a challenger counts from after it first saw
// the row's revision, which is later than the renewal took effect. So the holder
// stops at least twice the margin before a challenger can take over, as long as
// the clocks' rates differ by less than the margin over one duration.
//
// Two rows: renewals write only the lease row, takeovers write both, so that a
// task's transactions can check the epoch row without failing at each renewal.

// Owner names one run of a process as the holder of leases. It is never used again.
type Owner string

// Config holds what a Holder needs.
type Config struct {
	// Name names the task and its shard, as in "scaler/POOL/ZONE".
	Name string
	// Owner is fresh at every start of the process.
	Owner Owner
	// Duration is how long a renewal lasts.
	Duration time.Duration
	// Margin covers differing clock rates; below half of Duration.
	Margin time.Duration
	// RenewEvery is the time between two renewals; well below Duration less Margin.
	RenewEvery time.Duration
	// PollEvery is the time between two reads of a competing challenger.
	PollEvery time.Duration
	// MaxPollEvery bounds the time between two reads of the lowest rank.
	MaxPollEvery time.Duration
	// Random spreads the reads of challengers. Only the holder uses it.
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

// WithDefaults returns the configuration with its zero times filled in.
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

// Term is one uninterrupted time of holding a lease.
type Term struct {
	Epoch sillid.Epoch
	// EpochRow is the revision of the epoch row, which the next takeover changes.
	EpochRow silltable.Revision
	// Deadline is the first instant at which the holder must not act any more.
	Deadline time.Time
}

// Holder decides when to read, take, renew and give up one lease. It has at
// most one call running. It is not safe for concurrent use.
type Holder struct {
	cfg  Config
	rank int
	// pending is the call whose answer is awaited; Wait if there is none.
	pending CommandKind
	// sentAt is an instant before the pending call was sent.
	sentAt time.Time
	next   time.Time

	// seen is whether row and revision hold the last read or own write.
	seen     bool
	row      leaseRow
	revision silltable.Revision
	// since is when revision was first seen; no earlier than its write.
	since time.Time
	// takeable is whether the last call was a read that showed a row to be taken over.
	takeable bool

	// holding is whether term counts. Its deadline may have passed.
	holding bool
	term    Term
	// unproven is whether a read must tell the outcome of a renewal.
	unproven bool
	// effectiveAfter is no later than the instant at which a renewal of unknown
	// outcome took effect, or will; zero if there is none.
	effectiveAfter time.Time
}

// NewHolder returns a holder that has read nothing yet. Its first read is due
// at now for competing ranks and later for the others.
func NewHolder(cfg Config, rank int, now time.Time) *Holder {
	h := &Holder{cfg: cfg.WithDefaults(), rank: rank, next: now}
	if rank > 0 {
		h.next = now.Add(h.jitter(h.pollInterval()))
	}
	return h
}

// NextTick returns when Tick is due next, unless a call is running.
func (h *Holder) NextTick() time.Time { return h.next }

// SetRank sets the holder's place among the gateways that may take the lease.
func (h *Holder) SetRank(now time.Time, rank int) {
	closer := rank < h.rank
	h.rank = rank
	if !closer {
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

// Tick tells the holder the time.
func (h *Holder) Tick(now time.Time) Command {
	h.expire(now)
	if h.pending != Wait || now.Before(h.next) {
		return Command{}
	}
	if !h.holding {
		return h.challenge(now)
	}
	if h.unproven {
		return h.read(now)
	}
	return h.commit(now, Renew, silltable.Txn{
		Checks: []silltable.Check{h.leaseCheck()},
		Writes: []silltable.Write{h.leaseWrite(h.cfg.Owner, h.term.Epoch)},
	})
}

// expire ends a term whose deadline has passed. The lease is taken anew, with
// another epoch, even if nobody else took it meanwhile.
func (h *Holder) expire(now time.Time) {
	if !h.holding || now.Before(h.term.Deadline) {
		return
	}
	h.endTerm()
	h.next = now
}

func (h *Holder) endTerm() {
	h.holding = false
	h.clearUnproven()
	h.seen = false
}

func (h *Holder) clearUnproven() {
	h.unproven = false
	h.effectiveAfter = time.Time{}
}

func (h *Holder) challenge(now time.Time) Command {
	if !h.takeable {
		return h.read(now)
	}
	h.takeable = false
	epoch := h.row.Epoch + 1
	// Both rows need not be checked: the epoch row changes only with the lease row.
	return h.commit(now, TryAcquire, silltable.Txn{
		Checks: []silltable.Check{h.leaseCheck()},
		Writes: []silltable.Write{
			h.leaseWrite(h.cfg.Owner, epoch),
			{Key: EpochKey(h.cfg.Name), Value: encode(epochRow{Holder: h.cfg.Owner, Epoch: epoch})},
		},
	})
}

// takeableAt returns when the row that was seen may be taken over, if it stays
// as it is. An absent or released row may be taken at once, and so may a row of
// the holder's own: it holds no term now, so nobody acts under that row.
func (h *Holder) takeableAt() time.Time {
	if h.row.Holder == "" || h.row.Holder == h.cfg.Owner {
		return h.since
	}
	return h.since.Add(h.row.duration() + h.cfg.Margin)
}

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

// Release ends the term at once and returns the transaction that frees the
// lease. The caller has stopped the task before. Without a term it returns Wait.
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
