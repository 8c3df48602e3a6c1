// Package sillengine is the client of a model engine. It is the only package
// that knows the engine's protocol.
package sillengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillclient"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Config holds what a client of one engine needs.
type Config struct {
	// BaseURL is the address of the engine, without a path.
	BaseURL string
	// OrderTimeout bounds an order; a load of weights takes the longest.
	OrderTimeout time.Duration
	// CallTimeout bounds every other call but generations.
	CallTimeout time.Duration
}

// Client talks to one engine. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *http.Client
}

// maxAnswerBytes bounds the answer of a call that is no generation.
const maxAnswerBytes = 16 << 20

const (
	// idleConnections is the number of connections kept open to the engine.
	idleConnections = 64
	// idleTimeout is below the time after which common servers close an idle
	// connection, which may meet the next call.
	idleTimeout = time.Second
)

// New returns a client. It makes no call.
func New(cfg Config) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true}
	return &Client{cfg: cfg, http: sillclient.New(transport)}
}

var (
	// ErrNotReached is returned if no byte of the call reached the engine.
	ErrNotReached = errors.New("engine not reached: check that it runs and its address")
	// ErrStaleFencing is returned if the engine has obeyed a newer order giver.
	ErrStaleFencing = errors.New("engine refused an old fencing number: stop giving orders")
	// ErrOrderFailed is returned if the engine says that it failed an order.
	ErrOrderFailed = errors.New("engine failed the order: read its load and retry")
	// ErrOrderUnknown is returned if the answer to an order was lost.
	ErrOrderUnknown = errors.New("outcome of the engine's order unknown: read its load")
	// ErrNoRequest is returned if the engine does not know the request.
	ErrNoRequest = errors.New("engine does not know the request")
)

// Load is what an engine reports of itself. It lags.
type Load struct {
	Engine          sillid.EngineID
	Model           sillid.ModelID
	Version         sillid.WeightVersion
	Running         int
	Waiting         int
	CacheUsed       sillid.Tokens
	CacheCapacity   sillid.Tokens
	TokensPerSecond float64
	AsOf            time.Time
}

type loadAnswer struct {
	Engine          sillid.EngineID      `json:"engine-id"`
	Model           sillid.ModelID       `json:"model"`
	Version         sillid.WeightVersion `json:"version"`
	Running         int                  `json:"running"`
	Waiting         int                  `json:"waiting"`
	CacheUsed       sillid.Tokens        `json:"kv-used"`
	CacheCapacity   sillid.Tokens        `json:"kv-capacity"`
	TokensPerSecond float64              `json:"tokens-per-second"`
	AsOf            int64                `json:"as-of"`
}

// Load reads the engine's load report.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var a loadAnswer
	if err := c.call(ctx, c.cfg.CallTimeout, http.MethodGet, "/v1/load", nil, &a); err != nil {
		return Load{}, eris.Wrap(err, "sillengine.Load")
	}
	return Load{
		Engine:          a.Engine,
		Model:           a.Model,
		Version:         a.Version,
		Running:         a.Running,
		Waiting:         a.Waiting,
		CacheUsed:       a.CacheUsed,
		CacheCapacity:   a.CacheCapacity,
		TokensPerSecond: a.TokensPerSecond,
		AsOf:            time.UnixMilli(a.AsOf),
	}, nil
}

// Action names what an order asks of an engine.
type Action string

const (
	// LoadWeights loads a version of the model's weights.
	LoadWeights Action = "load-weights"
	// LoadAdapter loads an adapter.
	LoadAdapter Action = "load-adapter"
	// SetRole changes the engine's role.
	SetRole Action = "set-role"
)

// Order is one order to an engine.
type Order struct {
	ID      string               `json:"order-id"`
	Fencing sillid.Epoch         `json:"fencing-number"`
	Action  Action               `json:"action"`
	Model   sillid.ModelID       `json:"model"`
	Version sillid.WeightVersion `json:"version"`
	// URL is where the engine fetches the weights from.
	URL string `json:"url,omitempty"`
}

// OrderResult is the engine's answer to an order that it carried out.
type OrderResult struct {
	Engine  sillid.EngineID
	Version sillid.WeightVersion
}

type orderAnswer struct {
	Engine  sillid.EngineID      `json:"engine-id"`
	Model   sillid.ModelID       `json:"model"`
	Version sillid.WeightVersion `json:"version"`
}

// Order sends an order. Errors: ErrNotReached, ErrStaleFencing,
// ErrOrderFailed, ErrOrderUnknown.
func (c *Client) Order(ctx context.Context, order Order) (OrderResult, error) {
	var a orderAnswer
	err := c.call(ctx, c.cfg.OrderTimeout, http.MethodPost, "/v1/orders", order, &a)
	var status *statusError
	switch {
	case err == nil:
		return OrderResult{Engine: a.Engine, Version: a.Version}, nil
	case errors.Is(err, ErrNotReached):
		return OrderResult{}, err
	case errors.As(err, &status) && status.code == http.StatusConflict:
		return OrderResult{}, ErrStaleFencing
	case errors.As(err, &status):
		return OrderResult{}, eris.Wrapf(ErrOrderFailed, "sillengine.Order: %v", err)
	}
	return OrderResult{}, eris.Wrapf(ErrOrderUnknown, "sillengine.Order: %v", err)
}

// Cancel ends a request at the engine. Errors: ErrNoRequest, ErrNotReached.
func (c *Client) Cancel(ctx context.Context, id string) error {
	err := c.call(ctx, c.cfg.CallTimeout, http.MethodPost, "/v1/requests/"+url.PathEscape(id)+"/cancel", nil, nil)
	var status *statusError
	if errors.As(err, &status) && status.code == http.StatusNotFound {
		return ErrNoRequest
	}
	return eris.Wrap(err, "sillengine.Cancel")
}

// CacheEventKind tells what happened to a cached prefix.
type CacheEventKind string

const (
	// Stored means that the prefix came into the cache.
	Stored CacheEventKind = "stored"
	// Evicted means that the prefix left the cache.
	Evicted CacheEventKind = "evicted"
)

// CacheEvent is one event of the engine's prefix cache.
type CacheEvent struct {
	// Sequence counts the events; missing numbers were lost.
	Sequence uint64         `json:"seq"`
	Kind     CacheEventKind `json:"kind"`
	Prefix   string         `json:"prefix"`
}

type cacheAnswer struct {
	Events []CacheEvent `json:"events"`
	Next   uint64       `json:"next"`
}

// CacheEvents reads the events after a sequence number and returns the number
// to ask from next.
func (c *Client) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, uint64, error) {
	var a cacheAnswer
	path := "/v1/cache-events?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, c.cfg.CallTimeout, http.MethodGet, path, nil, &a)
	return a.Events, a.Next, eris.Wrap(err, "sillengine.CacheEvents")
}

// statusError is an answer with a status other than success.
type statusError struct {
	code int
	text string
}

// errorTextBytes bounds the part of an error's body that is kept.
const errorTextBytes = 512

func (e *statusError) Error() string {
	return "engine answered status " + strconv.Itoa(e.code) + ": " + e.text
}

// Answered reports whether an error is the engine's own answer.
func Answered(err error) bool {
	var status *statusError
	return errors.As(err, &status)
}

func (c *Client) call(ctx context.Context, limit time.Duration, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "sillengine.call: encode")
		}
		body = b
	}
	resp, err := c.send(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if out == nil {
		return nil
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out)
	return eris.Wrap(err, "sillengine.call: decode")
}

// send returns the answer if its status tells success; the caller closes it.
func (c *Client) send(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	resp, err := c.exchange(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	return checkStatus(resp)
}

// exchange returns the answer with any status; the caller closes it.
func (c *Client) exchange(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.cfg.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "sillengine.exchange: request")
	}
	if method != http.MethodGet {
		// The transport must not send the call twice on its own.
		req.GetBody = nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(err)
	}
	return resp, nil
}

// checkStatus returns the answer if its status tells success, and closes it otherwise.
func checkStatus(resp *http.Response) (*http.Response, error) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		defer resp.Body.Close()
		text, _ := io.ReadAll(io.LimitReader(resp.Body, errorTextBytes))
		return nil, &statusError{code: resp.StatusCode, text: string(text)}
	}
	return resp, nil
}

// sendError tells a call that never reached the engine from one that may have.
func sendError(err error) error {
	if sillcall.IsDialError(err) {
		return eris.Wrapf(ErrNotReached, "sillengine.send: %v", err)
	}
	return eris.Wrap(err, "sillengine.send")
}
