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
	// firstEventLimit bounds the time to the first event: a load of weights may
	// hold it up.
	firstEventLimit = 2 * time.Second
	// pauseLimit bounds the time between two events; slow engines take a fifth of it.
	pauseLimit = time.Second
	// failedPause is how long an item waits after a target failed it.
	failedPause = 100 * time.Millisecond
)

// errStalled ends an attempt whose events stopped coming.
var errStalled = errors.New("no event in the time allowed")

// errMoved ends an attempt at a slow target, so that the item goes on at a faster one.
var errMoved = errors.New("moved to a faster target")

// verdict is how an attempt at an item ended.
type verdict int

const (
	// whole texts have their last event.
	whole verdict = iota
	// broken attempts are tried again, after the last event.
	broken
	// failed attempts were run and failed by the target; enough of them give the
	// item up.
	failed
	// unserved attempts got another answer than a stream; the item is tried again
	// after a pause.
	unserved
	// impossible items can never be done.
	impossible
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
	r.cfg.Directory.Done(now, g, outcome)
	r.cfg.Metrics.attempts.WithLabelValues(outcome.String()).Inc()
	if ctx.Err() != nil {
		return
	}
	if v != whole {
		r.cfg.Log.Warn("Attempt at an item failed.", zap.String("request", string(it.item.ID)),
			zap.String("job", string(it.job.sub.Job)), zap.String("target", string(g.ID)),
			zap.Stringer("outcome", outcome), zap.Int("events-before", before), zap.Int("events", len(it.events)),
			zap.Duration("took", now.Sub(started)), silllog.Err(err))
	}
	switch v {
	case whole:
		r.score(ctx, it)
	case impossible:
		r.finish(it, Result{Item: it.item.ID}, "target can't do it")
	case failed:
		r.afterFailure(it, now)
	case unserved:
		r.requeue(it, now.Add(failedPause))
	case broken:
		r.requeue(it, now)
	}
}

// afterFailure gives an item up after enough failed runs.
func (r *Runner) afterFailure(it *itemRun, now time.Time) {
	r.mu.Lock()
	it.failures++
	giveUp := it.failures >= it.job.sub.MaxFailedAttempts
	r.mu.Unlock()
	if giveUp {
		r.finish(it, Result{Item: it.item.ID}, "attempts used up")
		return
	}
	r.requeue(it, now.Add(failedPause))
}

// running notes where an item runs and how its attempt is ended.
func (r *Runner) running(it *itemRun, target sillid.TargetID, stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it.target, it.stop = target, stop
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
	it.target, it.stop = "", nil
	r.mu.Unlock()
	r.nudge()
}

// generate runs an item at a target and takes its events.
func (r *Runner) generate(ctx context.Context, it *itemRun, g silltarget.Grant) (verdict, silltarget.Outcome, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.running(it, g.ID, func() { cancel(errMoved) })
	watchdog := time.AfterFunc(firstEventLimit, func() { cancel(errStalled) })
	defer watchdog.Stop()

	resp, err := r.cfg.Pool.Send(ctx, g.Address, r.request(it, g))
	if err != nil {
		return broken, r.outcomeOf(ctx, err), err
	}
	defer resp.Body.Close()
	told := r.cfg.Dialect.Answer(resp)
	r.cfg.Directory.Observe(time.Now(), g, told.Load, 0)
	switch {
	case told.Misdirected:
		drain(resp.Body)
		return broken, silltarget.Misdirected, nil
	case told.NotRun:
		drain(resp.Body)
		return broken, silltarget.Full, nil
	case resp.StatusCode == http.StatusUnprocessableEntity:
		drain(resp.Body)
		return impossible, silltarget.Answered, nil
	case resp.StatusCode == http.StatusInternalServerError:
		drain(resp.Body)
		return failed, silltarget.Answered, nil
	case resp.StatusCode >= http.StatusMultipleChoices:
		drain(resp.Body)
		return unserved, silltarget.Answered, nil
	}
	return r.takeEvents(ctx, it, g, resp, told, watchdog)
}

// request builds the request of an item.
func (r *Runner) request(it *itemRun, g silltarget.Grant) *silltransport.Request {
	header := it.item.Header.Clone()
	if header == nil {
		header = make(http.Header)
	}
	r.cfg.Dialect.Outgoing(header, sillheader.Attempt{
		Request: sillid.RequestID(it.item.ID), Target: g.ID, Organisation: it.job.sub.Organisation,
		Resume: len(it.events) > 0, LastEvent: it.lastEvent, Version: exactVersion(it),
	})
	return &silltransport.Request{
		Method: http.MethodPost, Target: it.item.Path, Host: it.job.sub.Host, Header: header, Body: it.item.Body,
	}
}

// drain reads the rest of an answer so that its connection can be kept.
func drain(body io.Reader) {
	// The answer says nothing more that matters; a loss only costs the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(body, maxRowBytes))
}

func (r *Runner) outcomeOf(ctx context.Context, err error) silltarget.Outcome {
	switch {
	case silltransport.NotSent(err) && ctx.Err() == nil:
		return silltarget.Unreachable
	case errors.Is(context.Cause(ctx), errStalled):
		return silltarget.Silent
	case errors.Is(context.Cause(ctx), errMoved):
		return silltarget.Abandoned
	case ctx.Err() != nil:
		return silltarget.Abandoned
	}
	return silltarget.Broken
}

// takeEvents adds the events of an answer to the text.
func (r *Runner) takeEvents(ctx context.Context, it *itemRun, g silltarget.Grant, resp *http.Response, told sillheader.Told, watchdog *time.Timer) (verdict, silltarget.Outcome, error) {
	reader := sillevent.NewReader(resp.Body, r.cfg.Dialect.VersionField)
	version := told.Version
	var last time.Time
	for {
		e, err := reader.Next()
		now := time.Now()
		if errors.Is(err, io.EOF) && len(it.events) > 0 {
			return whole, silltarget.Answered, nil
		}
		if err != nil {
			return broken, r.outcomeOf(ctx, err), err
		}
		watchdog.Reset(pauseLimit)
		if e.Version != 0 {
			version = e.Version
			r.cfg.Directory.SawVersion(g.ID, it.job.sub.Model, version)
		}
		if !r.take(it, e, version) {
			return broken, silltarget.Answered, errors.New("an event does not go on with the text")
		}
		if !last.IsZero() {
			r.cfg.Directory.Observe(now, g, nil, now.Sub(last))
		}
		last = now
	}
}

// take adds an event to a text. It returns false if the event does not follow
// the last one, or was made by a version that the job does not take. A text of
// one version is kept then: another engine may still have that version.
func (r *Runner) take(it *itemRun, e sillevent.Event, version sillid.WeightVersion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	sub := it.job.sub
	next := r.cfg.Dialect.FirstEvent
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
	it.begun = true
	it.strandedSince = time.Time{}
	it.add(e.ID, e.Data, version)
	return true
}
