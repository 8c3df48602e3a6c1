package sillagent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillclient"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// RequestIDHeader carries the request's id to targets and back to callers.
const RequestIDHeader = "X-Request-Id"

const (
	// idleConnections is the number of connections kept open to the service.
	idleConnections = 64
	// idleTimeout is below the time after which common servers close an idle
	// connection, which may meet the next request.
	idleTimeout = time.Second
)

// serviceClient calls a plain service.
type serviceClient struct {
	baseURL string
	// pooled sends idempotent requests on kept connections.
	pooled *http.Client
	// single opens a connection for each request. The transport repeats a
	// request by itself only on a kept connection, so it never repeats these.
	single *http.Client
}

func newServiceClient(baseURL string) *serviceClient {
	return &serviceClient{
		baseURL: baseURL,
		pooled:  newHTTPClient(&http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true}),
		single:  newHTTPClient(&http.Transport{DisableKeepAlives: true, DisableCompression: true}),
	}
}

func newHTTPClient(transport *http.Transport) *http.Client {
	client := sillclient.New(transport)
	// A redirect is an answer for the caller.
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return client
}

func (c *serviceClient) do(req *http.Request, idempotent bool) (*http.Response, error) {
	if idempotent {
		return c.pooled.Do(req)
	}
	return c.single.Do(req)
}

// hopHeaders apply to a single connection and are not passed on.
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
}

// callService runs a request on the plain service.
func (a *Agent) callService(ctx context.Context, n *run) outcome {
	var wrote atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { wrote.Store(true) }}
	req, err := a.serviceRequest(httptrace.WithClientTrace(ctx, trace), n)
	if err != nil {
		return outcome{failure: sillproblem.New(sillproblem.BadRequest, "%v", err)}
	}
	began := a.cfg.Now()
	resp, err := a.service.do(req, n.req.Idempotent)
	if err != nil {
		p := a.serviceProblem(ctx, err, wrote.Load())
		// A service that sends a malformed answer has not crashed.
		return outcome{failure: p, brokeOff: p.Kind == sillproblem.TargetFailed && !errors.Is(err, sillheader.ErrMalformed)}
	}
	defer resp.Body.Close()
	a.observeLimit(began, resp.Header)
	latency := a.cfg.Now().Sub(began)
	head := &sillwire.Head{Status: resp.StatusCode, Header: answerHeader(resp.Header)}
	if resp.ContentLength >= 0 && resp.ContentLength <= shortAnswerBytes {
		result := a.shortAnswer(ctx, head, resp)
		result.latency, result.status = latency, resp.StatusCode
		return result
	}
	if err := n.answer.append(false, head); err != nil {
		return outcome{failure: sillproblem.New(sillproblem.TargetFailed, "the service's header is too large").WithOutcome(sillproblem.Failed), billed: true}
	}
	result := a.copyAnswer(ctx, n, resp)
	result.latency, result.status = latency, resp.StatusCode
	return result
}

// shortAnswerBytes is the length up to which a response is buffered before it is passed
// on, so that the caller gets an error instead of a truncated response if the target
// crashes.
const shortAnswerBytes = 16 << 10

// shortAnswer reads a response of a known short length.
func (a *Agent) shortAnswer(ctx context.Context, head *sillwire.Head, resp *http.Response) outcome {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p := a.cutProblem(ctx)
		return outcome{failure: p, billed: true, brokeOff: p.Kind == sillproblem.TargetFailed}
	}
	result := outcome{billed: true, whole: []sillwire.Message{head}}
	if len(body) > 0 {
		result.whole = append(result.whole, &sillwire.Chunk{Data: body})
	}
	result.finish.Bytes = int64(len(body))
	return result
}

// copyAnswer passes the service's body on. The response is complete only if the body
// ended as its framing says.
func (a *Agent) copyAnswer(ctx context.Context, n *run, resp *http.Response) outcome {
	result := outcome{billed: true}
	buf := make([]byte, sillwire.MaxChunkBytes)
	for {
		size, err := resp.Body.Read(buf)
		if size > 0 {
			result.finish.Bytes += int64(size)
			data := append([]byte(nil), buf[:size]...)
			if err := n.answer.append(false, &sillwire.Chunk{Data: data}); err != nil {
				result.failure = sillproblem.New(sillproblem.TargetFailed, "%v", err).WithOutcome(sillproblem.OutcomeUnknown)
				return result
			}
		}
		if errors.Is(err, io.EOF) {
			return result
		}
		if err != nil {
			result.failure = a.cutProblem(ctx)
			result.brokeOff = result.failure.Kind == sillproblem.TargetFailed
			return result
		}
	}
}

func (a *Agent) cutProblem(ctx context.Context) *sillproblem.Problem {
	if ctx.Err() != nil {
		return a.endProblem(ctx)
	}
	return sillproblem.New(sillproblem.TargetFailed, "the target's answer was cut off").WithOutcome(sillproblem.OutcomeUnknown)
}

func (a *Agent) serviceRequest(ctx context.Context, n *run) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, n.req.Method, a.service.baseURL+n.req.Path, bytes.NewReader(n.body))
	if err != nil {
		return nil, err
	}
	for _, f := range n.req.Header {
		if !hopHeaders[http.CanonicalHeaderKey(f.Name)] {
			req.Header.Add(f.Name, f.Value)
		}
	}
	req.Header.Set(RequestIDHeader, string(n.req.RequestID))
	return req, nil
}

// serviceProblem returns the problem of a failed request: whether it may have reached
// the service decides about its outcome.
func (a *Agent) serviceProblem(ctx context.Context, err error, connected bool) *sillproblem.Problem {
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return sillproblem.New(sillproblem.NoTarget, "the target refuses connections")
	}
	if ctx.Err() != nil {
		return a.endProblem(ctx)
	}
	if errors.Is(err, sillheader.ErrMalformed) {
		return sillproblem.New(sillproblem.TargetFailed, "the target's answer is malformed").WithOutcome(sillproblem.OutcomeUnknown)
	}
	return sillproblem.New(sillproblem.TargetFailed, "the target closed the connection without an answer").WithOutcome(sillproblem.OutcomeUnknown)
}

func answerHeader(h http.Header) []sillwire.Field {
	var fields []sillwire.Field
	for name, values := range h {
		if hopHeaders[name] || name == LimitHeader {
			continue
		}
		for _, v := range values {
			fields = append(fields, sillwire.Field{Name: name, Value: v})
		}
	}
	return fields
}
