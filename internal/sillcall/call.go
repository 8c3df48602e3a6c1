// Package sillcall sends JSON calls over HTTP. Its errors distinguish a call that
// cannot have had an effect from one whose outcome is unknown.
package sillcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbody"
	"github.com/wasabisill/wasabisill/internal/sillclient"
)

var (
	// ErrNotSent is returned if no complete request left the process.
	ErrNotSent = errors.New("call not sent: check the address of the service and retry")
	// ErrNotPermitted is returned if the sender lost its permission before the request left.
	ErrNotPermitted = errors.New("call not sent: the sender no longer holds its lease")
	// ErrUnknown is returned if the response was lost; the call may have taken effect.
	ErrUnknown = errors.New("outcome of the call unknown: look the effect up before a retry")
)

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 16 << 20

// Config configures the calls to one service.
type Config struct {
	// BaseURL is the address of the service, without a path.
	BaseURL string
	// Timeout bounds each call.
	Timeout time.Duration
	// Client sends the calls; if nil, New creates one.
	Client *http.Client
}

// Caller sends calls to one service. It is safe for concurrent use.
type Caller struct {
	config Config
}

// New returns a caller. It makes no call.
func New(cfg Config) *Caller {
	if cfg.Client == nil {
		cfg.Client = sillclient.New(&http.Transport{MaxIdleConnsPerHost: 4})
	}
	return &Caller{config: cfg}
}

// Response is the response of a service, with any status.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Decode decodes the JSON body into value.
func (r Response) Decode(value any) error {
	return eris.Wrap(json.Unmarshal(r.Body, value), "sillcall.Decode")
}

// Get sends a GET request.
func (c *Caller) Get(ctx context.Context, path string) (Response, error) {
	return c.send(ctx, http.MethodGet, path, nil)
}

// Post sends a POST request with a JSON body. It calls mayAct right before
// the body is sent, after the wait for a connection, and returns ErrNotPermitted
// if mayAct returns false. mayAct may be nil.
func (c *Caller) Post(ctx context.Context, path string, body []byte, mayAct func() bool) (Response, error) {
	return c.send(ctx, http.MethodPost, path, &permitReader{Reader: bytes.NewReader(body), mayAct: mayAct})
}

func (c *Caller) send(ctx context.Context, method, path string, body *permitReader) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.config.BaseURL+path, nil)
	if err != nil {
		return Response{}, eris.Wrapf(ErrNotSent, "sillcall.send: %v", err)
	}
	if body != nil {
		// Without GetBody the transport cannot retry the request.
		req.Body = io.NopCloser(body)
		req.ContentLength = body.Size()
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.config.Client.Do(req)
	if err != nil {
		return Response{}, eris.Wrapf(sendError(err), "sillcall.send: %v", err)
	}
	defer resp.Body.Close()
	response := Response{Status: resp.StatusCode, Header: resp.Header}
	response.Body, err = sillbody.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return Response{}, eris.Wrapf(ErrUnknown, "sillcall.send: %v", err)
	}
	return response, nil
}

// sendError returns ErrNotPermitted or ErrNotSent if the request cannot have had an
// effect, and ErrUnknown otherwise.
func sendError(err error) error {
	if errors.Is(err, ErrNotPermitted) {
		return ErrNotPermitted
	}
	if IsDialError(err) {
		return ErrNotSent
	}
	return ErrUnknown
}

// IsDialError reports whether a request failed because its connection was never
// established, so that the request had no effect.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// permitReader is a request body whose reads fail if mayAct returns false. The
// transport reads the body before it flushes the headers, so no complete request
// leaves without permission.
type permitReader struct {
	*bytes.Reader
	mayAct func() bool
}

// Read implements io.Reader.
func (p *permitReader) Read(b []byte) (int, error) {
	if p.mayAct != nil && !p.mayAct() {
		return 0, ErrNotPermitted
	}
	return p.Reader.Read(b)
}

// WriteTo implements io.WriterTo. It hides the method of bytes.Reader, which would
// bypass the check in Read.
func (p *permitReader) WriteTo(w io.Writer) (int64, error) {
	if p.mayAct != nil && !p.mayAct() {
		return 0, ErrNotPermitted
	}
	return p.Reader.WriteTo(w)
}
