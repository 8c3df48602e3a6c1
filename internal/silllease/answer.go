package silllease

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// HandleRead processes the result of a ReadRow command. An absent row has the
// revision silltable.Absent and a nil error.
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
	changed := !h.rowKnown || row.Revision != h.revision
	if changed {
		h.firstSeenAt = now
	}
	h.rowKnown, h.row, h.revision = true, lease, row.Revision
	if h.holding {
		h.resolveRenewal(now, changed)
		return
	}
	h.acquirable = !now.Before(h.acquirableAt())
	h.next = h.nextPoll(now)
}

// resolveRenewal derives the outcome of the last renewal from the row just read.
func (h *Holder) resolveRenewal(now time.Time, changed bool) {
	if h.row.Holder != h.cfg.Owner || h.row.Epoch != h.term.Epoch {
		h.endTerm()
		h.next = h.nextPoll(now)
		return
	}
	h.next = now
	h.outcomeUnknown = false
	if changed {
		h.term.Deadline = h.deadline(h.effectiveAfter)
		h.next = h.effectiveAfter.Add(h.cfg.RenewEvery)
		h.effectiveAfter = time.Time{}
		return
	}
	// The renewal may still be in flight. If it takes effect, it does so after
	// this read was sent.
	h.effectiveAfter = h.sentAt
}

// HandleCommit processes the result of a TryAcquire, Renew or StepDown command.
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
		h.startTerm(revisions)
	case err == nil && h.holding:
		h.extendTerm(revisions)
	case kind == TryAcquire || errors.Is(err, silltable.ErrConflict):
		// An acquisition of unknown outcome needs no further handling: if the next
		// read finds this owner in the row, the lease is acquired with the next epoch.
		h.endTerm()
		h.next = now.Add(h.jitter(h.retryInterval()))
	case errors.Is(err, silltable.ErrUnavailable):
		h.next = now.Add(h.retryInterval())
	default:
		h.markRenewalUnknown()
		h.next = now.Add(h.retryInterval())
	}
}

func (h *Holder) startTerm(revisions []silltable.Revision) {
	// The row that was replaced was written before it was first seen, and its holder's term
	// ended within its duration.
	formerEnd := h.firstSeenAt.Add(max(h.row.duration(), h.cfg.Duration))
	if h.isFormerHolder() {
		formerEnd = h.firstSeenAt
	}
	h.term = Term{Epoch: h.row.Epoch + 1, EpochRow: revisions[1], Deadline: h.deadline(h.sentAt), FormerEnd: formerEnd}
	h.holding = true
	h.row = leaseRow{Holder: h.cfg.Owner, Epoch: h.term.Epoch, DurationMS: h.cfg.Duration.Milliseconds()}
	h.revision = revisions[0]
	h.next = h.sentAt.Add(h.cfg.RenewEvery)
}

func (h *Holder) extendTerm(revisions []silltable.Revision) {
	h.term.Deadline = h.deadline(h.sentAt)
	h.revision = revisions[0]
	// An earlier renewal that is still in flight now fails its revision check.
	h.clearUnknownRenewal()
	h.next = h.sentAt.Add(h.cfg.RenewEvery)
}

func (h *Holder) markRenewalUnknown() {
	h.outcomeUnknown = true
	if h.effectiveAfter.IsZero() {
		h.effectiveAfter = h.sentAt
	}
}

func (h *Holder) deadline(sentAt time.Time) time.Time {
	return sentAt.Add(h.cfg.Duration - h.cfg.Margin)
}
