package silllease

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// HandleRead answers ReadRow. An absent row has the revision Absent and no error.
func (h *Holder) HandleRead(now time.Time, row silltable.Row, err error) {
	h.pending = Wait
	h.expire(now)
	var lease leaseRow
	if err == nil && row.Revision != silltable.Absent {
		err = json.Unmarshal(row.Value, &lease)
	}
	if err != nil {
		h.next = now.Add(h.retryInterval())
		return
	}
	changed := !h.seen || row.Revision != h.revision
	if changed {
		h.since = now
	}
	h.seen, h.row, h.revision = true, lease, row.Revision
	if h.holding {
		h.proveRenewal(now, changed)
		return
	}
	h.takeable = !now.Before(h.takeableAt())
	h.next = h.nextPoll(now)
}

// proveRenewal takes the outcome of an unknown renewal from the row just read.
func (h *Holder) proveRenewal(now time.Time, changed bool) {
	if h.row.Holder != h.cfg.Owner || h.row.Epoch != h.term.Epoch {
		h.endTerm()
		h.next = h.nextPoll(now)
		return
	}
	h.next = now
	h.unproven = false
	if changed {
		h.term.Deadline = h.deadline(h.effectiveAfter)
		h.next = h.effectiveAfter.Add(h.cfg.RenewEvery)
		h.effectiveAfter = time.Time{}
		return
	}
	// The renewal may still be on its way, but took effect after this read was sent.
	h.effectiveAfter = h.sentAt
}

// HandleCommit answers TryAcquire, Renew and StepDown.
func (h *Holder) HandleCommit(now time.Time, revisions []silltable.Revision, err error) {
	kind := h.pending
	h.pending = Wait
	defer h.expire(now)
	if kind == StepDown {
		h.next = now.Add(h.jitter(h.pollInterval()))
		return
	}
	switch {
	case err == nil && kind == TryAcquire:
		h.begin(revisions)
	case err == nil && h.holding:
		h.renewed(revisions)
	case kind == TryAcquire || errors.Is(err, silltable.ErrConflict):
		// A lost answer of a takeover needs no proof: a read tells whether the
		// row is the holder's own, and then it takes it with the next epoch.
		h.endTerm()
		h.next = now.Add(h.jitter(h.retryInterval()))
	case errors.Is(err, silltable.ErrUnavailable):
		h.next = now.Add(h.retryInterval())
	default:
		h.renewalUnknown()
		h.next = now.Add(h.retryInterval())
	}
}

func (h *Holder) begin(revisions []silltable.Revision) {
	h.term = Term{Epoch: h.row.Epoch + 1, EpochRow: revisions[1], Deadline: h.deadline(h.sentAt)}
	h.holding = true
	h.row = leaseRow{Holder: h.cfg.Owner, Epoch: h.term.Epoch, DurationMS: h.cfg.Duration.Milliseconds()}
	h.revision = revisions[0]
	h.next = h.sentAt.Add(h.cfg.RenewEvery)
}

func (h *Holder) renewed(revisions []silltable.Revision) {
	h.term.Deadline = h.deadline(h.sentAt)
	h.revision = revisions[0]
	// A renewal still on its way fails now, since the row has changed.
	h.clearUnproven()
	h.next = h.sentAt.Add(h.cfg.RenewEvery)
}

func (h *Holder) renewalUnknown() {
	h.unproven = true
	if h.effectiveAfter.IsZero() {
		h.effectiveAfter = h.sentAt
	}
}

func (h *Holder) deadline(sentAt time.Time) time.Time {
	return sentAt.Add(h.cfg.Duration - h.cfg.Margin)
}
