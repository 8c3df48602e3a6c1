// Package sillforwarder forwards a caller's request to a target of its route. It
// picks the target, bounds each attempt and retries failed attempts where the
// route allows it.
package sillforwarder

import (
	"context"
	"io"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/sillschedule"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Request is a caller's request.
type Request struct {
	ID    sillid.RequestID
	Route *sillcatalog.Route
	// Version is the version of the configuration that Route comes from.
	Version      sillid.BundleVersion
	Pool         sillid.PoolID
	Organisation sillid.OrganisationID
	Priority     sillschedule.Priority
	// Homes are the regions to which the request may be sent.
	Homes  sillhome.Homes
	Method string
	// RequestURI is the path and query, unchanged as the caller sent them.
	RequestURI string
	Host       string
	// Header holds the headers to pass on, without hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Arrived is when this process received the request.
	Arrived time.Time
	// Deadline is the earlier of the caller's and the route's deadline.
	Deadline time.Time
	// AllowLate is whether the request is served late rather than refused, since
	// no caller waits for the response.
	AllowLate bool
	// Owed is whether the request belongs to an accepted item. Such a request never
	// crashes targets by itself, and is not refused if targets crash under it.
	Owed bool
	// Reserve takes memory for bytes of the response before they are read, and returns false
	// if there is none; the caller gives it back once the response is delivered. If it is nil,
	// responses share a buffer while they are read.
	Reserve func(bytes int64) bool
}

// field returns the log field with the request's id.
func (r *Request) field() zap.Field { return zap.String("request", string(r.ID)) }

// content identifies what the request asks for: requests of one organisation with the
// same method, host, path, query and body have the same content under any id.
func (r *Request) content() sillcrash.Fingerprint {
	return sillcrash.NewFingerprint(r.Organisation, r.Method, r.Route.Host+r.RequestURI, r.Body)
}

// class returns the class of the request for limits of targets: whether a caller waits for it.
func (r *Request) class() sillrate.Class {
	if r.Owed {
		return sillrate.Background
	}
	return sillrate.Interactive
}

// Response is a target's response. Body is complete unless Stream is set.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Metadata is the metadata in the head of the response.
	Metadata sillheader.ResponseMetadata
	// Stream, if not nil, is the body of a response that is passed on while it
	// arrives. The caller closes it.
	Stream io.ReadCloser
}

// Config holds what a Forwarder needs.
type Config struct {
	Directory *silltarget.Directory
	Pool      *silltransport.Pool
	Codec     sillheader.Codec
	// Zone is the availability zone of this process.
	Zone sillid.ZoneID
	// OnStarted is called for each attempt that a target started, or may have
	// started, to run; at is when it was sent.
	OnStarted func(organisation sillid.OrganisationID, at time.Time)
	// Suspects holds the evidence on requests that crash targets.
	Suspects *sillcrash.SharedTracker
	// OnEvidence, if not nil, is called when a target crashed under a content, or an answer
	// cleared the evidence on one; urgent is whether the content is refused from now on, or
	// was until now. It must not block.
	OnEvidence func(urgent bool)
	// AcquirePermit gets a permit for an attempt at a target that names a limit on requests.
	AcquirePermit func(ctx context.Context, a sillpermit.Ask) sillpermit.Verdict
	Metrics       *Metrics
	// BufferBytes bounds the memory of all responses that are being read, apart from
	// the first 64 KiB of each; 0 stands for 64 MiB.
	BufferBytes int64
	Log         *zap.Logger
}

// Forwarder forwards requests to targets. It is safe for concurrent use.
type Forwarder struct {
	cfg     Config
	crashes *crashMonitor
	bodies  *bodyBuffer
	errors  *errorMemory
	queues  *queues
}

// New returns a forwarder.
func New(cfg Config) *Forwarder {
	cfg.Log = cfg.Log.Named("forward")
	f := &Forwarder{cfg: cfg, bodies: newBodyBuffer(cfg.BufferBytes), errors: newErrorMemory(), queues: newQueues()}
	f.crashes = newCrashMonitor(cfg.Suspects)
	f.crashes.onCrash, f.crashes.onCleared = f.recordCrash, f.recordCleared
	return f
}

// recordCrash logs and passes on that a target crashed under a content.
func (f *Forwarder) recordCrash(content sillcrash.Fingerprint, target sillid.TargetID) {
	fields := f.evidenceFields(content, f.cfg.Suspects.State(content))
	f.cfg.Log.Warn("Target crashed under a request.", append(fields, zap.String("target", string(target)))...)
	refused := f.cfg.Suspects.Check(content) != nil
	if refused {
		f.cfg.Log.Warn("Targets crashed under a request; refusing its content.",
			zap.Stringer("content", content), zap.String("target", string(target)))
	}
	f.notifyEvidence(refused)
}

func (f *Forwarder) notifyEvidence(urgent bool) {
	if f.cfg.OnEvidence != nil {
		f.cfg.OnEvidence(urgent)
	}
}

// recordCleared logs and passes on that an answer of a target cleared the evidence on a
// content.
func (f *Forwarder) recordCleared(content sillcrash.Fingerprint, target sillid.TargetID, before sillcrash.State) {
	f.cfg.Log.Info("Answer cleared the crash evidence on a request.", append(f.evidenceFields(content, before), zap.String("target", string(target)))...)
	f.notifyEvidence(before.Refused())
}

// evidenceFields returns the log fields of the crash evidence on a content.
func (f *Forwarder) evidenceFields(content sillcrash.Fingerprint, s sillcrash.State) []zap.Field {
	return append(s.LogFields(time.Now()), zap.Stringer("content", content))
}

// Do returns the response of a target, or an error of type *Refusal. When ctx
// ends, the attempt at the target is cancelled too.
func (f *Forwarder) Do(ctx context.Context, req *Request) (*Response, error) {
	p := progress{content: req.content()}
	tried := f.erroredTargets(req, p.content)
	for {
		remaining := time.Until(req.Deadline)
		if ctx.Err() != nil {
			return nil, f.recordRefusal(req, p, &Refusal{Reason: CallerGone, NotRun: !p.mayHaveRun})
		}
		if nextStep(req.Route, p, remaining) == abandon {
			return nil, f.recordRefusal(req, p, newRefusal(p, remaining))
		}
		if problem := f.crashSuspicion(req, p); problem != nil {
			return nil, f.recordRefusal(req, p, &Refusal{Reason: CrashSuspect, NotRun: !p.mayHaveRun, RetryAfter: problem.RetryAfter})
		}
		grant, ok := f.pick(ctx, req, tried, p)
		if !ok {
			return nil, f.recordRefusal(req, p, f.setRetryAfter(req, newRefusal(p, time.Until(req.Deadline))))
		}
		p.attempts++
		tried[grant.ID] = true
		sentAt := time.Now()
		resp, outcome, ran := f.attempt(ctx, req, f.begin(req, grant, p), p)
		if resp != nil {
			f.cfg.Log.Info("Answered.", req.field(), zap.Uint64("config", uint64(req.Version)),
				zap.String("target", string(grant.ID)), zap.Int("attempt", p.attempts), zap.Int("status", resp.Status),
				zap.Duration("took", time.Since(sentAt)))
			return resp, nil
		}
		if outcome == silltarget.Withdrawn {
			// No byte was sent; the target counts neither as tried nor as failed.
			p.attempts--
			delete(tried, grant.ID)
			continue
		}
		p.record(outcome, ran)
		f.cfg.Metrics.countFailedAttempt(outcome)
		f.cfg.Log.Warn("Attempt failed.", req.field(), zap.Stringer("content", p.content),
			zap.String("target", string(grant.ID)), zap.Int("attempt", p.attempts),
			zap.Stringer("outcome", outcome), zap.Bool("may-have-run", ran))
	}
}

// ResolveSilentTargets attributes crashes of targets that stopped responding to the
// requests that they ran. It is called periodically.
func (f *Forwarder) ResolveSilentTargets(now time.Time) {
	f.crashes.resolveSilent(now, f.cfg.Directory.Entry)
}

// crashSuspicion returns a problem if the request must not run because targets crashed
// under requests with its content.
func (f *Forwarder) crashSuspicion(req *Request, p progress) *sillproblem.Problem {
	if req.Owed {
		return nil
	}
	return f.cfg.Suspects.Check(p.content)
}

// setRetryAfter sets the delay after which a retry of a request that was refused
// for the load is likely to be served in time.
func (f *Forwarder) setRetryAfter(req *Request, r *Refusal) *Refusal {
	if r.Reason == AllFull || r.Reason == NoTarget {
		now := time.Now()
		if until, limited := f.cfg.Directory.LimitedUntil(now, silltarget.Query{Pool: req.Pool, Homes: req.Homes, Class: req.class()}); limited {
			r.applyLimit(until.Sub(now))
			return r
		}
		earliest := f.cfg.Directory.EarliestResponse(now, silltarget.Query{Pool: req.Pool, Homes: req.Homes})
		r.applyOverload(earliest, req.Route.LatencyObjective)
	}
	return r
}

// recordRefusal counts and logs a refusal, and returns it.
func (f *Forwarder) recordRefusal(req *Request, p progress, r *Refusal) *Refusal {
	f.cfg.Metrics.countRefusal(r.Reason)
	log := f.cfg.Log
	if r.Reason == CrashSuspect {
		log = log.With(f.cfg.Suspects.State(p.content).LogFields(time.Now())...)
	}
	log.Warn("Gave a request up.", req.field(), zap.Stringer("content", p.content), zap.String("route", string(req.Route.ID)),
		zap.Uint64("config", uint64(req.Version)), zap.String("reason", string(r.Reason)), zap.Bool("not-run", r.NotRun),
		zap.Int("attempts", p.attempts), zap.Int("unreachable", p.unreachable), zap.Duration("left", time.Until(req.Deadline)))
	return r
}
