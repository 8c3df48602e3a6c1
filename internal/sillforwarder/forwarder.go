// Package sillforwarder carries one request of a caller to the targets of its
// route: which target, how long it may take, and what follows a failure.
package sillforwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// maxAnswerBytes bounds an answer that is read before it is passed on.
const maxAnswerBytes = 16 << 20

var errAnswerTooLong = errors.New("the answer is longer than a gateway holds")

// Request is one request of a caller.
type Request struct {
	ID    sillid.RequestID
	Route *sillcatalog.Route
	// Version is the configuration that the route is of.
	Version      sillid.BundleVersion
	Pool         sillid.PoolID
	Organisation sillid.OrganisationID
	Method       string
	// RequestURI is the path and query as the caller sent them.
	RequestURI string
	Host       string
	// Header holds what is passed on, without the headers of the connection.
	Header http.Header
	Body   []byte
	// Arrived is when the request reached this process.
	Arrived time.Time
	// Deadline is the earlier one of the caller's and the route's.
	Deadline time.Time
	// AllowLate requests are served late rather than refused: nobody waits for the
	// answer.
	AllowLate bool
}

// field names the request in a line of the log.
func (r *Request) field() zap.Field { return zap.String("request", string(r.ID)) }

// Response is a target's answer. Body is whole, unless Stream is set.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Metadata is what the head of the answer tells.
	Metadata sillheader.ResponseMetadata
	// Stream, if not nil, is the body of an answer that is passed on as it
	// comes. The caller closes it.
	Stream io.ReadCloser
}

// Config holds what a Forwarder needs.
type Config struct {
	Directory *silltarget.Directory
	Pool      *silltransport.Pool
	Codec     sillheader.Codec
	// Zone is the availability zone of this process.
	Zone sillid.ZoneID
	// OnStarted is told of each attempt that a target began, or may have begun.
	OnStarted func(organisation sillid.OrganisationID, at time.Time)
	Metrics   *Metrics
	Log       *zap.Logger
}

// Forwarder sends requests to targets. It is safe for concurrent use.
type Forwarder struct {
	cfg Config
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	cfg.Log = cfg.Log.Named("forward")
	return &Forwarder{cfg: cfg}
}

// Do returns the answer of a target, or an error of type *Refusal. When ctx
// ends, the work at the target ends too.
func (f *Forwarder) Do(ctx context.Context, req *Request) (*Response, error) {
	p := progress{}
	tried := make(map[sillid.TargetID]bool)
	for {
		left := time.Until(req.Deadline)
		if ctx.Err() != nil {
			return nil, f.refused(req, p, &Refusal{Reason: CallerGone, NotRun: !p.mayHaveRun})
		}
		if next(req.Route, p, left) == giveUp {
			return nil, f.refused(req, p, refuse(p, left))
		}
		grant, ok := f.pick(ctx, req, tried)
		if !ok {
			return nil, f.refused(req, p, f.comeBack(req, refuse(p, time.Until(req.Deadline))))
		}
		p.attempts++
		tried[grant.ID] = true
		sentAt := time.Now()
		a, outcome, ran := f.attempt(ctx, req, grant, p)
		if a != nil {
			f.cfg.Log.Info("Answered.", req.field(), zap.Uint64("config", uint64(req.Version)),
				zap.String("target", string(grant.ID)), zap.Int("attempt", p.attempts), zap.Int("status", a.Status),
				zap.Duration("took", time.Since(sentAt)))
			return a, nil
		}
		p.last = outcome
		p.mayHaveRun = p.mayHaveRun || ran
		f.cfg.Metrics.retry(outcome)
		f.cfg.Log.Warn("Attempt failed.", req.field(),
			zap.String("target", string(grant.ID)), zap.Int("attempt", p.attempts),
			zap.Stringer("outcome", outcome), zap.Bool("may-have-run", ran))
	}
}

// comeBack sets when a refused caller is likely to be served in time.
func (f *Forwarder) comeBack(req *Request, r *Refusal) *Refusal {
	if r.Reason == AllFull || r.Reason == NoTarget {
		soonest := f.cfg.Directory.EarliestResponse(time.Now(), silltarget.Query{Pool: req.Pool})
		r.overloaded(soonest, req.Route.LatencyObjective)
	}
	return r
}

func (f *Forwarder) refused(req *Request, p progress, r *Refusal) *Refusal {
	f.cfg.Metrics.refuse(r.Reason)
	f.cfg.Log.Warn("Gave a request up.", req.field(), zap.String("route", string(req.Route.ID)),
		zap.Uint64("config", uint64(req.Version)), zap.String("reason", string(r.Reason)), zap.Bool("not-run", r.NotRun),
		zap.Int("attempts", p.attempts), zap.Duration("left", time.Until(req.Deadline)))
	return r
}

// pick waits a moment for a target: first for one with a free slot, then for
// one that queues but answers in time, then for one that rests.
func (f *Forwarder) pick(ctx context.Context, req *Request, tried map[sillid.TargetID]bool) (silltarget.Grant, bool) {
	query := silltarget.Query{Pool: req.Pool, Zone: f.cfg.Zone, Exclude: tried, MaxResponseTime: within(req, len(tried), time.Now())}
	wait := time.NewTimer(min(time.Duration(waitShare*float64(req.Route.LatencyObjective)), time.Until(req.Deadline)))
	defer wait.Stop()
	for {
		changed := f.cfg.Directory.Changed()
		now := time.Now()
		for _, q := range [...]silltarget.Query{freeOnly(query), query} {
			if g, ok := f.cfg.Directory.Pick(now, q); ok {
				return g, true
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return silltarget.Grant{}, false
		case <-wait.C:
			query.IncludeBackingOff = true
			return f.cfg.Directory.Pick(time.Now(), query)
		}
	}
}

func freeOnly(q silltarget.Query) silltarget.Query {
	q.FreeOnly, q.MaxResponseTime = true, 0
	return q
}

// attempt sends a request to one target. Without an answer it tells how the
// attempt ended and whether the target may have run the request.
func (f *Forwarder) attempt(ctx context.Context, req *Request, g silltarget.Grant, p progress) (*Response, silltarget.Outcome, bool) {
	left := time.Until(req.Deadline)
	limit := patience(req.Route, p, f.cfg.Directory.MeanUnitLatency(req.Pool), left)
	header := req.Header.Clone()
	f.cfg.Codec.SetRequestHeaders(header, sillheader.Attempt{
		Request: req.ID, Target: g.ID, Organisation: req.Organisation, Remaining: left,
	})
	attemptCtx, cancel := context.WithTimeout(ctx, limit)
	sentAt := time.Now()
	resp, err := f.cfg.Pool.Send(attemptCtx, g.Address, &silltransport.Request{
		Method: req.Method, RequestURI: req.RequestURI, Host: req.Host, Header: header, Body: req.Body,
	})
	if err == nil {
		return f.answer(ctx, req, g, resp, sentAt, cancel)
	}
	cancel()
	outcome := f.failure(ctx, err)
	f.cfg.Directory.Release(time.Now(), g, outcome)
	ran := !silltransport.NotSent(err)
	if ran {
		f.cfg.OnStarted(req.Organisation, sentAt)
	}
	return nil, outcome, ran
}

// failure classifies an attempt without an answer.
func (f *Forwarder) failure(ctx context.Context, err error) silltarget.Outcome {
	switch {
	case ctx.Err() != nil:
		return silltarget.Abandoned
	case silltransport.NotSent(err):
		return silltarget.Unreachable
	case errors.Is(err, context.DeadlineExceeded):
		return silltarget.TimedOut
	}
	return silltarget.Broken
}

// answer takes the head of an answer and reads its body.
func (f *Forwarder) answer(ctx context.Context, req *Request, g silltarget.Grant, resp *http.Response, sentAt time.Time, cancel context.CancelFunc) (*Response, silltarget.Outcome, bool) {
	told := f.cfg.Codec.ParseResponse(resp)
	streamed := req.Route.Kind == sillcatalog.Stream && !told.NotRun && !told.Misdirected
	if !streamed {
		defer cancel()
	}
	switch {
	case told.Misdirected:
		return f.turnedAway(g, resp, told, silltarget.Misdirected)
	case told.NotRun:
		return f.turnedAway(g, resp, told, silltarget.Rejected)
	}
	f.cfg.OnStarted(req.Organisation, sentAt)
	if streamed {
		body := &streamBody{forwarder: f, grant: g, body: resp.Body, cancel: cancel, ctx: ctx}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Metadata: told, Stream: body}, silltarget.Answered, true
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errAnswerTooLong
	}
	resp.Body.Close()
	now := time.Now()
	if err != nil {
		outcome := f.failure(ctx, err)
		f.cfg.Directory.Release(now, g, outcome)
		return nil, outcome, true
	}
	f.cfg.Directory.Observe(now, g, told.Load, now.Sub(sentAt))
	f.cfg.Directory.Release(now, g, silltarget.Answered)
	f.cfg.Metrics.answered(now.Sub(sentAt))
	return &Response{Status: resp.StatusCode, Header: resp.Header, Metadata: told, Body: body}, silltarget.Answered, true
}

// turnedAway takes the answer of a target that did not run the request.
func (f *Forwarder) turnedAway(g silltarget.Grant, resp *http.Response, told sillheader.ResponseMetadata, o silltarget.Outcome) (*Response, silltarget.Outcome, bool) {
	// The body is read so that the connection can be kept; its loss changes nothing.
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	resp.Body.Close()
	now := time.Now()
	f.cfg.Directory.Observe(now, g, told.Load, 0)
	f.cfg.Directory.Release(now, g, o)
	return nil, o, false
}

// streamBody returns the grant of a stream when its body is closed.
type streamBody struct {
	forwarder *Forwarder
	grant     silltarget.Grant
	body      io.ReadCloser
	cancel    context.CancelFunc
	ctx       context.Context
	outcome   silltarget.Outcome
}

func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.body.Read(p)
	if err != nil && err != io.EOF {
		b.outcome = b.forwarder.failure(b.ctx, err)
	}
	return n, err
}

func (b *streamBody) Close() error {
	err := b.body.Close()
	b.cancel()
	b.forwarder.cfg.Directory.Release(time.Now(), b.grant, b.outcome)
	return err
}
