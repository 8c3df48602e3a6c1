package sillforwarder

import (
	"context"
	"errors"
	"io"
	"mime"
	"net"
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillevent"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

// activeAttempt is an attempt that holds a grant until release.
type activeAttempt struct {
	silltarget.Grant
	content sillcrash.Fingerprint
	// run is nil for requests that are owed.
	run *run
}

func (f *Forwarder) begin(req *Request, g silltarget.Grant, p progress) activeAttempt {
	if req.Owed {
		return activeAttempt{Grant: g, content: p.content}
	}
	return activeAttempt{Grant: g, content: p.content, run: f.crashes.start(g, p.content)}
}

// release returns the grant of an attempt and records its outcome.
func (f *Forwarder) release(a activeAttempt, o silltarget.Outcome) {
	f.cfg.Directory.Release(time.Now(), a.Grant, o)
	if a.run != nil {
		f.crashes.end(a.run, o)
	}
}

// attempt sends a request to one target. If there is no response, it returns the
// outcome of the attempt and whether the target may have run the request.
func (f *Forwarder) attempt(ctx context.Context, req *Request, a activeAttempt, p progress) (*Response, silltarget.Outcome, bool) {
	remaining := time.Until(req.Deadline)
	limit := attemptTimeout(req.Route, p, f.cfg.Directory.MeanUnitLatency(req.Pool), remaining)
	header := req.Header.Clone()
	f.cfg.Codec.SetRequestHeaders(header, sillheader.Attempt{
		Request: req.ID, Target: a.ID, Organisation: req.Organisation, Remaining: remaining,
	})
	attemptCtx, cancel := context.WithTimeout(ctx, limit)
	sentAt := time.Now()
	resp, err := f.cfg.Pool.Send(attemptCtx, a.Address, &silltransport.Request{
		ID: string(req.ID), Method: req.Method, RequestURI: req.RequestURI, Host: req.Host, Header: header, Body: req.Body,
		Check: func() error { return f.cfg.Directory.CheckSend(time.Now(), a.Grant) },
	})
	if err == nil {
		return f.readResponse(ctx, req, a, resp, sentAt, cancel)
	}
	cancel()
	outcome := f.failedOutcome(ctx, err)
	f.release(a, outcome)
	ran := !silltransport.NotSent(err)
	if ran {
		f.cfg.OnStarted(req.Organisation, sentAt)
	}
	return nil, outcome, ran
}

// failedOutcome returns the outcome of an attempt without a complete response.
func (f *Forwarder) failedOutcome(ctx context.Context, err error) silltarget.Outcome {
	switch {
	case ctx.Err() != nil:
		return silltarget.Abandoned
	case errors.Is(err, silltarget.ErrWithdrawn):
		return silltarget.Withdrawn
	case silltransport.NotSent(err):
		return silltarget.Unreachable
	case errors.Is(err, context.DeadlineExceeded):
		return silltarget.TimedOut
	case isConnectionError(err):
		return silltarget.Broken
	}
	return silltarget.Malformed
}

// isConnectionError returns whether the peer closed or reset the connection, or was
// lost.
func isConnectionError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// readResponse evaluates the metadata of a response and reads its body, unless the
// body is streamed.
func (f *Forwarder) readResponse(ctx context.Context, req *Request, a activeAttempt, resp *http.Response, sentAt time.Time, cancel context.CancelFunc) (*Response, silltarget.Outcome, bool) {
	metadata := f.cfg.Codec.ParseResponse(resp)
	streamed := req.Route.Kind == sillcatalog.Stream && !metadata.NotRun && !metadata.Misdirected
	if !streamed {
		defer cancel()
	}
	if !metadata.Misdirected {
		f.cfg.Directory.ObserveNotice(time.Now(), a.Run(), metadata.Notice)
		f.cfg.Directory.ObserveLimit(sentAt, time.Now(), a.Run(), metadata.Limit, metadata.Signature != "")
		f.cfg.Directory.ObserveCold(sentAt, time.Now(), a.Run(), metadata.Cold, metadata.Signature != "")
	}
	switch {
	case metadata.Misdirected:
		return f.finishRejected(a, resp, metadata, silltarget.Misdirected)
	case metadata.NotRun:
		return f.finishRejected(a, resp, metadata, silltarget.Rejected)
	}
	f.cfg.OnStarted(req.Organisation, sentAt)
	if a.run != nil {
		a.run.survived = metadata.Signature != "" && sillcrash.ProvesHealth(resp.StatusCode)
	}
	if metadata.Signature == "" && isSuccess(resp.StatusCode) {
		// Closing the body before its end closes the connection, too.
		resp.Body.Close()
		cancel()
		f.release(a, silltarget.Malformed)
		return nil, silltarget.Malformed, true
	}
	if streamed {
		body := &streamBody{forwarder: f, attempt: a, body: resp.Body, cancel: cancel, ctx: ctx, outcome: silltarget.Abandoned, status: resp.StatusCode, events: isEventStream(resp)}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Metadata: metadata, Stream: body}, silltarget.Answered, true
	}
	body, err := f.readBody(req, resp)
	resp.Body.Close()
	now := time.Now()
	if err != nil {
		outcome := f.failedOutcome(ctx, err)
		f.release(a, outcome)
		return nil, outcome, true
	}
	outcome := f.completeOutcome(a, resp.StatusCode)
	took := now.Sub(sentAt)
	if outcome != silltarget.Answered {
		// An error does not tell how long the work takes.
		took = 0
	}
	f.cfg.Directory.Observe(now, a.Grant, metadata.Load, took)
	f.release(a, outcome)
	f.cfg.Metrics.observeLatency(now.Sub(sentAt))
	return &Response{Status: resp.StatusCode, Header: resp.Header, Metadata: metadata, Body: body}, silltarget.Answered, true
}

// readBody reads a response into the memory of the caller's request, or else of the shared
// buffer.
func (f *Forwarder) readBody(req *Request, resp *http.Response) ([]byte, error) {
	if req.Reserve == nil {
		return f.bodies.read(resp.Body, resp.ContentLength)
	}
	return readBody(resp.Body, resp.ContentLength, req.Reserve)
}

// isSuccess returns whether a status is a success, which counts only if it is signed:
// anything else may come from something that is not the target.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// finishRejected handles the response of a target that did not run the request.
func (f *Forwarder) finishRejected(a activeAttempt, resp *http.Response, metadata sillheader.ResponseMetadata, o silltarget.Outcome) (*Response, silltarget.Outcome, bool) {
	// The body is read so that the connection can be reused; an error only costs
	// the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxRejectionBytes))
	resp.Body.Close()
	f.cfg.Directory.Observe(time.Now(), a.Grant, metadata.Load, 0)
	f.release(a, o)
	return nil, o, false
}

// isEventStream returns whether the body of a response is a stream of events.
func isEventStream(resp *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	encoded := resp.Header.Get("Content-Encoding") != ""
	return err == nil && mediaType == "text/event-stream" && !encoded && isSuccess(resp.StatusCode)
}

// streamBody is the body of a streamed response. Close releases the grant with the
// outcome of the stream.
type streamBody struct {
	forwarder *Forwarder
	attempt   activeAttempt
	body      io.ReadCloser
	cancel    context.CancelFunc
	ctx       context.Context
	status    int
	// events is whether the body is a stream of events.
	events  bool
	checker sillevent.Checker
	// outcome is Abandoned until the stream ends or fails.
	outcome silltarget.Outcome
}

func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if malformed := b.check(p[:n], err); malformed != nil {
		// Nothing of it is passed on.
		b.outcome = silltarget.Malformed
		return 0, malformed
	}
	switch {
	case err == io.EOF && b.outcome == silltarget.Abandoned:
		b.outcome = b.forwarder.completeOutcome(b.attempt, b.status)
	case err == io.EOF:
	case err != nil:
		b.outcome = b.forwarder.failedOutcome(b.ctx, err)
	}
	return n, err
}

// check checks bytes of a stream that is an answer, and its end.
func (b *streamBody) check(p []byte, err error) error {
	if !b.events {
		return nil
	}
	if malformed := b.checker.Check(p); malformed != nil || !errors.Is(err, io.EOF) {
		return malformed
	}
	return b.checker.End()
}

func (b *streamBody) Close() error {
	err := b.body.Close()
	b.cancel()
	b.forwarder.release(b.attempt, b.outcome)
	return err
}
