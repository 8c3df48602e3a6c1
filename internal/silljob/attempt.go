package silljob

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillevent"
	"github.com/wasabisill/wasabisill/internal/sillforwarder"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// retryDelay is the time until an item is retried after a response with an error status.
const retryDelay = 100 * time.Millisecond

// errStalled is the cancellation cause of an attempt that received no event in time.
var errStalled = errors.New("no event arrived within the time limit")

// errMigrated is the cancellation cause of an attempt whose item migrates to a faster target.
var errMigrated = errors.New("item migrated to a faster target")

// attemptResult is how an attempt at an item ended. It decides whether the item is retried.
type attemptResult int

const (
	// complete: the generation has its last event.
	complete attemptResult = iota
	// incomplete: the target was unreachable or rejected the request, or the stream
	// broke off. The item is retried at once and resumes after its last event.
	incomplete
	// failed: the target ran the request and responded with status 500. The item is
	// retried after retryDelay, until MaxFailedAttempts are used up.
	failed
	// unexpectedStatus: the target responded with another error status, which says
	// nothing about the item. The item is retried after retryDelay.
	unexpectedStatus
	// unprocessable: the target responded with status 422. The item fails
	// permanently.
	unprocessable
)

// attempt sends an item to a target once, then scores, retries or abandons it.
func (r *Runner) attempt(ctx context.Context, it *itemRun, g silltarget.Grant) {
	r.logSend(it, g)
	started := time.Now()
	before := len(it.events)
	result, outcome, err := r.generate(ctx, it, g)
	if ctx.Err() != nil {
		outcome = silltarget.Abandoned
	}
	now := time.Now()
	r.cfg.Directory.Release(now, g, outcome)
	r.cfg.Metrics.attempts.WithLabelValues(outcome.String()).Inc()
	if ctx.Err() != nil {
		return
	}
	if result != complete {
		r.cfg.Log.Warn("Attempt at an item failed.", zap.String("request", string(it.item.ID)),
			zap.String("job", string(it.job.sub.Job)), zap.String("target", string(g.ID)),
			zap.Stringer("outcome", outcome), zap.Int("events-before", before), zap.Int("events", len(it.events)),
			zap.Duration("took", now.Sub(started)), silllog.Err(err))
	}
	switch result {
	case complete:
		r.recordAttemptTime(now.Sub(started))
		r.score(ctx, it)
	case unprocessable:
		r.finish(it, Result{Item: it.item.ID}, "target can't do it")
	case failed:
		r.recordFailure(it, now)
	case unexpectedStatus:
		r.requeue(it, now.Add(retryDelay))
	case incomplete:
		r.requeue(it, now)
	}
}

// recordFailure counts a failed attempt. It abandons the item after
// MaxFailedAttempts and requeues it otherwise.
func (r *Runner) recordFailure(it *itemRun, now time.Time) {
	r.mu.Lock()
	it.failures++
	exhausted := it.failures >= it.job.sub.MaxFailedAttempts
	r.mu.Unlock()
	if exhausted {
		r.finish(it, Result{Item: it.item.ID}, "attempts used up")
		return
	}
	r.requeue(it, now.Add(retryDelay))
}

// recordTarget records the target of an item's attempt and the function that cancels it.
func (r *Runner) recordTarget(it *itemRun, target sillid.TargetID, cancel func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it.target, it.cancelAttempt = target, cancel
}

// requeue makes an item wait for its next attempt, or abandons it if the job's
// time limit has passed.
func (r *Runner) requeue(it *itemRun, notBefore time.Time) {
	if at := it.job.sub.AbandonAt(); !at.IsZero() && time.Now().After(at) {
		r.finish(it, Result{Item: it.item.ID}, "given up in time")
		return
	}
	r.mu.Lock()
	it.phase = waiting
	it.notBefore = notBefore
	it.target, it.cancelAttempt = "", nil
	r.mu.Unlock()
	r.notifyDispatcher()
}

// generate sends an item to a target and adds the received events to its generation.
func (r *Runner) generate(ctx context.Context, it *itemRun, g silltarget.Grant) (attemptResult, silltarget.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.recordTarget(it, g.ID, func() { cancel(errMigrated) })
	watch := r.watchStall(it, g.ID, func() { cancel(errStalled) })
	defer watch.stop()

	sentAt := time.Now()
	resp, err := r.cfg.Pool.Send(ctx, g.Address, r.request(it, g))
	if err != nil {
		return incomplete, r.outcomeOf(ctx, err), err
	}
	defer resp.Body.Close()
	metadata := r.cfg.Codec.ParseResponse(resp)
	r.cfg.Directory.Observe(time.Now(), g, metadata.Load, 0)
	if metadata.Misdirected {
		discardBody(resp.Body)
		return incomplete, silltarget.Misdirected, nil
	}
	r.cfg.Directory.ObserveNotice(time.Now(), g.Run(), metadata.Notice)
	r.cfg.Directory.ObserveLimit(sentAt, time.Now(), g.Run(), metadata.Limit, metadata.Signature != "")
	r.cfg.Directory.ObserveCold(sentAt, time.Now(), g.Run(), metadata.Cold, metadata.Signature != "")
	switch {
	case metadata.NotRun:
		discardBody(resp.Body)
		return incomplete, silltarget.Rejected, nil
	case resp.StatusCode == http.StatusUnprocessableEntity:
		discardBody(resp.Body)
		return unprocessable, silltarget.Answered, nil
	case resp.StatusCode == http.StatusInternalServerError:
		discardBody(resp.Body)
		return failed, r.erroredOutcome(it, g.ID), nil
	case sillforwarder.IsTargetError(resp.StatusCode):
		discardBody(resp.Body)
		return unexpectedStatus, r.erroredOutcome(it, g.ID), nil
	case resp.StatusCode >= http.StatusMultipleChoices:
		discardBody(resp.Body)
		return unexpectedStatus, silltarget.Answered, nil
	case metadata.Signature == "":
		// Closing the body before its end closes the connection, too.
		return incomplete, silltarget.Malformed, errors.New("success is not signed")
	}
	return r.readEvents(ctx, it, g, resp, metadata, watch)
}

// request builds the request of an item. It asks the target to resume after the
// last event if the item has any.
func (r *Runner) request(it *itemRun, g silltarget.Grant) *silltransport.Request {
	header := it.item.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	r.cfg.Codec.SetRequestHeaders(header, sillheader.Attempt{
		Request: sillid.RequestID(it.item.ID), Target: g.ID, Organisation: it.job.sub.Organisation,
		Resume: len(it.events) > 0, LastEvent: it.lastEvent, Version: exactVersion(it),
	})
	return &silltransport.Request{
		ID: string(it.item.ID), Method: http.MethodPost, RequestURI: it.item.Path, Host: it.job.sub.Host, Header: header, Body: it.item.Body,
		Check: func() error { return r.cfg.Directory.CheckSend(time.Now(), g) },
	}
}

// discardBody reads the rest of a response body so that the connection can be reused.
func discardBody(body io.Reader) {
	// After an error only the connection can't be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxRowBytes))
}

// outcomeOf returns the outcome of an attempt whose request or stream failed with err.
func (r *Runner) outcomeOf(ctx context.Context, err error) silltarget.Outcome {
	switch {
	case errors.Is(err, silltarget.ErrWithdrawn):
		return silltarget.Withdrawn
	case silltransport.NotSent(err) && ctx.Err() == nil:
		return silltarget.Unreachable
	case errors.Is(context.Cause(ctx), errStalled):
		return silltarget.TimedOut
	case errors.Is(context.Cause(ctx), errMigrated):
		return silltarget.Abandoned
	case ctx.Err() != nil:
		return silltarget.Abandoned
	}
	return silltarget.Broken
}

// readEvents adds the events of a response to the generation. It reports the
// time between events and the weight version of each to the directory.
func (r *Runner) readEvents(ctx context.Context, it *itemRun, g silltarget.Grant, resp *http.Response, metadata sillheader.ResponseMetadata, watch *stallWatch) (attemptResult, silltarget.Outcome, error) {
	reader := sillevent.NewReader(resp.Body, r.cfg.Codec.VersionField)
	version := metadata.Version
	var last time.Time
	before := len(it.events)
	for {
		e, err := reader.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) && len(it.events) > 0 {
			return r.endOfStream(it, g.ID, len(it.events) > before)
		}
		if errors.Is(err, sillevent.ErrNotText) || errors.Is(err, sillevent.ErrTooLong) {
			r.avoidTarget(it, g.ID)
			return incomplete, silltarget.Malformed, err
		}
		if err != nil {
			return incomplete, r.outcomeOf(ctx, err), err
		}
		watch.recordEvent(now)
		if e.Version != 0 {
			version = e.Version
			r.cfg.Directory.ObserveVersion(g.ID, it.job.sub.Model, version)
		}
		if !r.acceptEvent(it, e, version) {
			return incomplete, silltarget.Answered, errors.New("event does not continue the generation")
		}
		if last.IsZero() {
			r.recordFirstEvent(now.Sub(watch.begunAt))
		} else {
			r.cfg.Directory.Observe(now, g, nil, now.Sub(last))
		}
		last = now
	}
}

// endsToConfirm is the number of attempts in a row that must end without an event before a
// generation that had broken off counts as complete. One may come from a target that
// failed, the end of the stream that broke off may be all that is missing.
const endsToConfirm = 2

// endOfStream handles the end of a stream whose attempt may have added events.
func (r *Runner) endOfStream(it *itemRun, target sillid.TargetID, added bool) (attemptResult, silltarget.Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if added {
		return complete, silltarget.Answered, nil
	}
	if it.emptyEnds++; it.emptyEnds >= endsToConfirm {
		return complete, silltarget.Answered, nil
	}
	it.avoid = silltarget.Excluding(it.avoid, target)
	return incomplete, silltarget.Answered, errors.New("stream ends without an event; asking another target")
}

// maxTextBytes bounds the text of a generation: its result must fit into a transaction.
const maxTextBytes = maxTxnBytes

// acceptEvent adds an event to a generation. It returns false if the event does
// not follow the last one, if the job does not accept its weight version, or if the
// text gets longer than a result may be; it discards such a text. If the
// job requires a single version, it keeps the events so far, since another engine
// may still serve that version. If the version is older than the job's MinVersion,
// it discards them.
func (r *Runner) acceptEvent(it *itemRun, e sillevent.Event, version sillid.WeightVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sub := it.job.sub
	next := r.cfg.Codec.FirstEvent
	if len(it.events) > 0 {
		next = it.lastEvent + 1
	}
	if e.ID != next {
		return false
	}
	if sub.SingleVersion && len(it.versions) > 0 && it.versions[0] != version {
		return false
	}
	if version < sub.MinVersion || it.textBytes+len(e.Data)+separatorBytes > maxTextBytes {
		it.discard()
		return false
	}
	it.started = true
	it.emptyEnds = 0
	it.versionWaitSince = time.Time{}
	it.addEvent(e.ID, e.Data, version)
	return true
}
