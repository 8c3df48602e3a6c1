package sillobject

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbody"
	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillclient"
)

// Config configures a client of the object store.
type Config struct {
	// BaseURL is the address of the store, without a path.
	BaseURL string
	// Timeout bounds each call.
	Timeout time.Duration
	// Client sends the calls; if nil, Dial creates one.
	Client *http.Client
	// Observe is called after every call with its name ("get" or "put") and its
	// error, e.g. for metrics. It may be nil.
	Observe func(call string, err error)
}

type client struct {
	Config
}

// Dial returns a client of the object store at an HTTP address. It makes no call.
func Dial(cfg Config) *Store {
	if cfg.Client == nil {
		cfg.Client = sillclient.New(&http.Transport{MaxIdleConnsPerHost: 4})
	}
	if cfg.Observe == nil {
		cfg.Observe = func(string, error) {}
	}
	c := &client{Config: cfg}
	return &Store{Get: c.get, PutNew: c.putNew}
}

func (c *client) url(name string) string {
	u := url.URL{Path: "/objects/" + name}
	return c.BaseURL + u.EscapedPath()
}

func (c *client) get(ctx context.Context, name string) ([]byte, error) {
	data, err := c.read(ctx, name)
	c.Observe("get", err)
	return data, err
}

func (c *client) read(ctx context.Context, name string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(name), nil)
	if err != nil {
		return nil, eris.Wrap(err, "sillobject.Get: request")
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "sillobject.Get: %v", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return nil, ErrNotFound
	default:
		return nil, eris.Wrapf(ErrUnavailable, "sillobject.Get: status %d", resp.StatusCode)
	}
	data, err := sillbody.ReadAll(resp.Body, MaxBytes)
	if errors.Is(err, sillbody.ErrTooLong) {
		return nil, eris.Wrapf(ErrTooLarge, "sillobject.Get: %s", name)
	}
	if err != nil {
		return nil, eris.Wrapf(ErrUnavailable, "sillobject.Get: %v", err)
	}
	return data, nil
}

func (c *client) putNew(ctx context.Context, name string, data []byte) error {
	err := c.write(ctx, name, data)
	c.Observe("put", err)
	return err
}

func (c *client) write(ctx context.Context, name string, data []byte) error {
	if len(data) > MaxBytes {
		return eris.Wrapf(ErrTooLarge, "sillobject.PutNew: %s has %d bytes", name, len(data))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.url(name), bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "sillobject.PutNew: request")
	}
	req.Header.Set("If-None-Match", "*")
	// Without GetBody the transport cannot retry the request. A retry could find the
	// object of the first attempt and return ErrExists.
	req.GetBody = nil
	resp, err := c.Client.Do(req)
	if err != nil {
		return putError(err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusCreated:
		return nil
	case http.StatusPreconditionFailed:
		return ErrExists
	case http.StatusServiceUnavailable:
		return ErrUnavailable
	default:
		return eris.Wrapf(ErrUnknown, "sillobject.PutNew: status %d", resp.StatusCode)
	}
}

// putError returns ErrUnavailable if the connection was never established, so that
// the call had no effect, and ErrUnknown otherwise.
func putError(err error) error {
	if sillcall.IsDialError(err) {
		return eris.Wrapf(ErrUnavailable, "sillobject.PutNew: %v", err)
	}
	return eris.Wrapf(ErrUnknown, "sillobject.PutNew: %v", err)
}
