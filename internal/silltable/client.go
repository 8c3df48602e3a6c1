package silltable

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
)

// Config configures a client of the table service.
type Config struct {
	// BaseURL is the address of the service, without a path.
	BaseURL string
	// Timeout bounds each call.
	Timeout time.Duration
	// Client sends the calls; if nil, Dial creates one.
	Client *http.Client
	// Observe is called after every call with its name ("get", "list" or "commit")
	// and its error, e.g. for metrics. It may be nil.
	Observe func(call string, err error)
}

// idleConnections is the number of connections kept open to the service; the
// leases of one gateway may all be renewed at once.
const idleConnections = 64

// maxResponseBytes bounds the size of one response.
const maxResponseBytes = 16 << 20

type client struct {
	Config
}

// Dial returns a client of the table service at an HTTP address. It makes no call.
func Dial(cfg Config) *Store {
	if cfg.Client == nil {
		cfg.Client = sillclient.New(&http.Transport{MaxIdleConnsPerHost: idleConnections})
	}
	if cfg.Observe == nil {
		cfg.Observe = func(string, error) {}
	}
	c := &client{Config: cfg}
	return &Store{Get: c.get, List: c.list, Commit: c.commit}
}

func (c *client) get(ctx context.Context, key string) (Row, error) {
	var row Row
	err := c.call(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	c.Observe("get", err)
	return row, err
}

type listResponse struct {
	Rows []Row `json:"rows"`
}

func (c *client) list(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{}
	q.Set("prefix", prefix)
	q.Set("after", after)
	q.Set("limit", strconv.Itoa(limit))
	var response listResponse
	err := c.call(ctx, http.MethodGet, "/table/rows?"+q.Encode(), nil, &response)
	c.Observe("list", err)
	return response.Rows, err
}

type commitResponse struct {
	Revisions []Revision `json:"revisions"`
}

func (c *client) commit(ctx context.Context, txn Txn) ([]Revision, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return nil, eris.Wrap(err, "silltable.commit: encode")
	}
	var response commitResponse
	err = c.call(ctx, http.MethodPost, "/table/commit", body, &response)
	// After any error other than a conflict, a failed dial or a refusal by the
	// service, the transaction may have taken effect.
	if err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnavailable) {
		err = eris.Wrapf(ErrUnknown, "silltable.commit: %v", err)
	}
	c.Observe("commit", err)
	return response.Revisions, err
}

func (c *client) call(ctx context.Context, method, path string, body []byte, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "silltable.call: request")
	}
	// Without GetBody the transport cannot retry the request, which could commit twice.
	req.GetBody = nil
	resp, err := c.Client.Do(req)
	if err != nil {
		return callError(method, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return eris.Errorf("silltable.call: status %d", resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(response)
	if err != nil && method == http.MethodGet {
		return eris.Wrapf(ErrUnavailable, "silltable.call: %v", err)
	}
	return eris.Wrap(err, "silltable.call: decode")
}

// callError returns ErrUnavailable if the call cannot have had an effect: the
// connection was never established, or the call only reads.
func callError(method string, err error) error {
	if sillcall.IsDialError(err) || method == http.MethodGet {
		return eris.Wrapf(ErrUnavailable, "silltable.call: %v", err)
	}
	return eris.Wrap(err, "silltable.call")
}
