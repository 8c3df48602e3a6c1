package silljob

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillevent"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// firstEventTimeout bounds the time to the first event: a load of weights may
	// hold it up.
	firstEventTimeout = 2 * time.Second
	// stallTimeout bounds the time between two events; slow engines take a fifth of it.
	stallTimeout = time.Second
	// retryDelay is how long an item waits after a target failed it.
	retryDelay = 100 * time.Millisecond
)

// errStalled ends an attempt whose events stopped coming.
var errStalled = errors.New("no event in the time allowed")

// errMigrated ends an attempt at a slow target, so that the item goes on at a faster one.
var errMigrated = errors.New("moved to a faster target")

// attemptResult is how an attempt at an item ended.
type attemptResult int

const (
	// complete texts have their last event.
	complete attemptResult = iota
	// incomplete attempts are tried again, after the last event.
	incomplete
	// failed attempts were run and failed by the target; enough of them give the
	// item up.
	failed
	// unexpectedStatus attempts got another answer than a stream; the item is tried again
	// after a pause.
	unexpectedStatus
	// unprocessable items can never be done.
	unprocessable
)

// attempt runs an item at a target once and decides what follows.
func (r *Runner) attempt(ctx context.Context, it *itemRun, g silltarget.Grant) {
	started := time.Now()
	before := len(it.events)
	v, outcome, err := r.generate(ctx, it, g)
	if ctx.Err() != nil {
		outcome = silltarget.Abandoned
	}
	now := time.Now()
	r.cfg.Directory.Release(now, g, outcome)
	r.cfg.Metrics.attempts.WithLabelValues(outcome.String()).Inc()
	if ctx.Err() != nil {
		return
	}
	if v != complete {
		r.cfg.Log.Warn("Attempt at an item failed.", zap.String("request", string(it.item.ID)),
			zap.String("job", string(it.job.sub.Job)), zap.String("target", string(g.ID)),
			zap.Stringer("outcome", outcome), zap.Int("events-before", before), zap.Int("events", len(it.events)),
			zap.Duration("took", now.Sub(started)), silllog.Err(err))
	}
	switch v {
	case complete:
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

// recordFailure gives an item up after enough failed runs.
func (r *Runner) recordFailure(it *itemRun, now time.Time) {
	r.mu.Lock()
	it.failures++
	giveUp := it.failures >= it.job.sub.MaxFailedAttempts
	r.mu.Unlock()
	if giveUp {
		r.finish(it, Result{Item: it.item.ID}, "attempts used up")
		return
	}
	r.requeue(it, now.Add(retryDelay))
}

// recordTarget notes where an item runs and how its attempt is ended.
func (r *Runner) recordTarget(it *itemRun, target sillid.TargetID, stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it.target, it.cancelAttempt = target, stop
}

// requeue puts an item back to be run again.
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

// generate runs an item at a target and takes its events.
func (r *Runner) generate(ctx context.Context, it *itemRun, g silltarget.Grant) (attemptResult, silltarget.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.recordTarget(it, g.ID, func() { cancel(errMigrated) })
	watchdog := time.AfterFunc(firstEventTimeout, func() { cancel(errStalled) })
	defer watchdog.Stop()

	resp, err := r.cfg.Pool.Send(ctx, g.Address, r.request(it, g))
	if err != nil {
		return incomplete, r.outcomeOf(ctx, err), err
	}
	defer resp.Body.Close()
	told := r.cfg.Codec.ParseResponse(resp)
	r.cfg.Directory.Observe(time.Now(), g, told.Load, 0)
	switch {
	case told.Misdirected:
		discardBody(resp.Body)
		return incomplete, silltarget.Misdirected, nil
	case told.NotRun:
		discardBody(resp.Body)
		return incomplete, silltarget.Rejected, nil
	case resp.StatusCode == http.StatusUnprocessableEntity:
		discardBody(resp.Body)
		return unprocessable, silltarget.Answered, nil
	case resp.StatusCode == http.StatusInternalServerError:
		discardBody(resp.Body)
		return failed, silltarget.Answered, nil
	case resp.StatusCode >= http.StatusMultipleChoices:
		discardBody(resp.Body)
		return unexpectedStatus, silltarget.Answered, nil
	}
	return r.readEvents(ctx, it, g, resp, told, watchdog)
}

// request builds the request of an item.
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
		Method: http.MethodPost, RequestURI: it.item.Path, Host: it.job.sub.Host, Header: header, Body: it.item.Body,
	}
}

// discardBody reads the rest of an answer so that its connection can be kept.
func discardBody(body io.Reader) {
	// The answer says nothing more that matters; a loss only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxRowBytes))
}

func (r *Runner) outcomeOf(ctx context.Context, err error) silltarget.Outcome {
	switch {
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

// readEvents adds the events of an answer to the text.
func (r *Runner) readEvents(ctx context.Context, it *itemRun, g silltarget.Grant, resp *http.Response, told sillheader.ResponseMetadata, watchdog *time.Timer) (attemptResult, silltarget.Outcome, error) {
	reader := sillevent.NewReader(resp.Body, r.cfg.Codec.VersionField)
	version := told.Version
	var last time.Time
	for {
		e, err := reader.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) && len(it.events) > 0 {
			return complete, silltarget.Answered, nil
		}
		if err != nil {
			return incomplete, r.outcomeOf(ctx, err), err
		}
		watchdog.Reset(stallTimeout)
		if e.Version != 0 {
			version = e.Version
			r.cfg.Directory.ObserveVersion(g.ID, it.job.sub.Model, version)
		}
		if !r.acceptEvent(it, e, version) {
			return incomplete, silltarget.Answered, errors.New("an event does not go on with the text")
		}
		if !last.IsZero() {
			r.cfg.Directory.Observe(now, g, nil, now.Sub(last))
		}
		last = now
	}
}

// acceptEvent adds an event to a text. It returns false if the event does not follow
// the last one, or was made by a version that the job does not acceptEvent. A text of
// one version is kept then: another engine may still have that version.
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
	if version < sub.MinVersion {
		it.discard()
		return false
	}
	it.started = true
	it.versionWaitSince = time.Time{}
	it.addEvent(e.ID, e.Data, version)
	return true
}
