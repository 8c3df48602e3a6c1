package sillgateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// notReadyRetry tells a caller when to come back to a gateway without a bundle.
	notReadyRetry = 2 * time.Second
	// memoryRetry tells a caller when to come back to a gateway whose memory is taken.
	memoryRetry = time.Second
	// openOrganisation stands for callers without a key on open routes.
	openOrganisation sillid.OrganisationID = "open"
	// openMaxConcurrent bounds the running requests without a key.
	openMaxConcurrent = 64
	// idempotencyHeader carries the caller's idempotency key.
	idempotencyHeader = "Idempotency-Key"
)

// call is one request of a caller while it is handled.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	who     caller
	route   *sillbundle.Route
	request *silldispatch.Request
	// completion is nil on service routes.
	completion *completionRequest
	began      time.Time
}

// serveCaller answers a request to a route of the bundle.
func (g *Gateway) serveCaller(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, began: g.cfg.Now()}
	access := g.cfg.Access()
	if p := g.accept(c, &access); p != nil {
		g.refuse(w, r, p)
		return
	}
	ctx, leave := g.active.enter(r.Context(), c.who.hash)
	defer leave()
	// A withdrawal between the look-up and enter would be missed otherwise.
	now := g.cfg.Access()
	if c.who.organisation != nil && now.organisation(c.who.hash) == nil {
		g.refuse(w, r, sillproblem.New(sillproblem.KeyWithdrawn, "the key is in force no more"))
		return
	}
	if p := g.prepare(c); p != nil {
		g.refuse(w, r, p)
		return
	}
	leaveAdmission, p := g.admit(c)
	if p != nil {
		g.refuse(w, r, p)
		return
	}
	defer func() { leaveAdmission(g.cfg.Now().Sub(c.began)) }()
	g.answer(ctx, c)
}

// accept finds the route and the caller.
func (g *Gateway) accept(c *call, access *Access) *sillproblem.Problem {
	if access.Index == nil {
		return access.usable()
	}
	clean := path.Clean(c.r.URL.EscapedPath())
	c.route = access.Index.RouteByPath(clean)
	if c.route == nil {
		return sillproblem.New(sillproblem.RouteUnknown, "no route has the path %s.", clean)
	}
	if c.route.Open && bearerKey(c.r) == "" {
		return nil
	}
	if p := access.usable(); p != nil && !c.route.Open {
		return p
	}
	who, p := access.authenticate(c.r)
	if p != nil {
		return p
	}
	if !access.Index.MayUse(who.organisation.ID, c.route) {
		return sillproblem.New(sillproblem.RouteForbidden, "route %s is not among those of %s.", c.route.ID, who.organisation.ID)
	}
	c.who = who
	return nil
}

// prepare reads the body and makes the request that targets get.
func (g *Gateway) prepare(c *call) *sillproblem.Problem {
	target, p := scrubPath(c.r.URL, c.route.PathPrefix, c.who.key)
	if p != nil {
		return p
	}
	timeout, p := timeoutOf(c.r, c.route)
	if p != nil {
		return p
	}
	body, p := readBody(c.w, c.r, c.route.MaxBodyBytes, c.began.Add(timeout))
	if p != nil {
		return p
	}
	if p := checkBody(body, c.who.key); p != nil {
		return p
	}
	c.request = &silldispatch.Request{
		ID:           requestID(c.r),
		Organisation: openOrganisation,
		Weight:       1,
		Class:        sillwire.Interactive,
		Route:        c.route.ID,
		Pool:         c.route.Pool,
		Model:        c.route.Model,
		Method:       c.r.Method,
		Path:         target,
		Header:       scrubHeader(c.r.Header, c.who.key),
		Body:         body,
		Idempotent:   c.route.Idempotent || c.r.Method == http.MethodGet || c.r.Method == http.MethodHead,
		Deadline:     c.began.Add(timeout),
	}
	if o := c.who.organisation; o != nil {
		c.request.Organisation = o.ID
		c.request.Weight = o.Weight
	}
	c.request.Fingerprint = sillcrash.NewFingerprint(c.request.Organisation, c.r.Method, c.route.PathPrefix+target, body)
	if c.route.Kind == sillbundle.ModelRoute {
		return c.prepareCompletion()
	}
	return nil
}

func (c *call) prepareCompletion() *sillproblem.Problem {
	if c.r.Method != http.MethodPost {
		return sillproblem.New(sillproblem.BadRequest, "a model route takes POST.")
	}
	completion, p := parseCompletion(c.request.Path, c.route.Model, c.request.Body)
	if p != nil {
		return p
	}
	c.completion = completion
	// A generation has no effect outside its answer.
	c.request.Idempotent = true
	c.request.Prefix = sillroute.PrefixBlocks(completion.promptBytes())
	return nil
}

// readBody reads a body of at most limit bytes, and no longer than to the deadline.
func readBody(w http.ResponseWriter, r *http.Request, limit sillid.Bytes, deadline time.Time) ([]byte, *sillproblem.Problem) {
	control := http.NewResponseController(w)
	// A connection that takes no deadline is bounded by its own.
	_ = control.SetReadDeadline(deadline)
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := sillserver.ReadBody(w, r, int64(limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, sillproblem.New(sillproblem.BodyTooLarge, "the route takes %d bytes.", limit)
	}
	if errors.Is(err, sillserver.ErrNoMemory) {
		return nil, sillproblem.New(sillproblem.Overload, "other requests take the memory for bodies.").WithRetryAfter(memoryRetry)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, sillproblem.New(sillproblem.DeadlinePassed, "the body did not come in time")
	}
	if err != nil {
		return nil, sillproblem.New(sillproblem.BadRequest, "the body broke off.")
	}
	return body, nil
}

// timeoutOf returns the route's timeout, or the shorter one that the caller
// prefers ("Prefer: wait=SECONDS").
func timeoutOf(r *http.Request, route *sillbundle.Route) (time.Duration, *sillproblem.Problem) {
	timeout := time.Duration(route.TimeoutSeconds) * time.Second
	for token := range strings.SplitSeq(r.Header.Get("Prefer"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(token), "=")
		if !strings.EqualFold(name, "wait") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 1 {
			return 0, sillproblem.New(sillproblem.BadRequest, "header Prefer: wait takes a whole number of seconds.")
		}
		timeout = min(timeout, time.Duration(seconds)*time.Second)
	}
	return timeout, nil
}

// admit bounds the running requests of the organisation.
func (g *Gateway) admit(c *call) (func(time.Duration), *sillproblem.Problem) {
	limit := openMaxConcurrent
	if o := c.who.organisation; o != nil {
		limit = o.MaxConcurrent
	}
	return g.cfg.Admission.Admit(c.request.Organisation, limit)
}

// answer runs the request and writes the response to the caller.
func (g *Gateway) answer(ctx context.Context, c *call) {
	if c.completion != nil {
		g.answerCompletion(ctx, c)
		return
	}
	key := c.r.Header.Get(idempotencyHeader)
	if key != "" && !c.request.Idempotent {
		g.answerOnce(ctx, c, key)
		return
	}
	out := &plainWriter{w: c.w, id: c.request.ID}
	_, p := g.cfg.Dispatch.Do(ctx, c.request, out.sink())
	g.observe(c, p)
	if p != nil {
		out.fail(p)
	}
}

func (g *Gateway) answerCompletion(ctx context.Context, c *call) {
	out := newCompletionWriter(c.w, c.request, c.completion.Stream, c.began)
	answer, p := g.cfg.Dispatch.Do(ctx, c.request, out.sink())
	g.observe(c, p)
	if p != nil {
		out.fail(p)
		return
	}
	// An error here means that the caller left.
	_ = out.finish(answer.Finish)
}

// observe counts the end of a request.
func (g *Gateway) observe(c *call, p *sillproblem.Problem) {
	if p != nil {
		g.cfg.Metrics.refused(p)
		return
	}
	g.cfg.Metrics.Answered.WithLabelValues(string(c.request.Organisation), string(c.route.ID)).Inc()
	g.cfg.Metrics.Duration.WithLabelValues(string(c.route.ID)).Observe(g.cfg.Now().Sub(c.began).Seconds())
}
