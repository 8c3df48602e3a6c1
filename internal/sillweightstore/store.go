// Package sillweightstore is the client of the platform's rate-limited weight store.
package sillweightstore

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ErrNotFound is returned for a version that the store does not have.
var ErrNotFound = errors.New("weight version not found: check that the trainer stored it")

// RateLimitError is returned if the store refused the call by its rate limit.
type RateLimitError struct {
	// RetryAfter is the time to wait before the next call.
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("weight store at its rate limit: retry after %s", e.RetryAfter)
}

// defaultRetryAfter is the delay if a response with status 429 has no valid Retry-After
// header.
const defaultRetryAfter = time.Second

// Client is a client of the weight store. Its fields are safe for concurrent use.
type Client struct {
	// Fetch reads the weights of one version. It returns ErrNotFound or a
	// *RateLimitError; any other error may be retried.
	Fetch func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) ([]byte, error)
}

// URL returns the URL of one version's weights below a base URL.
func URL(base string, model sillid.ModelID, version sillid.WeightVersion) string {
	return fmt.Sprintf("%s/weights/%s/%d", base, url.PathEscape(string(model)), version)
}

// Dial returns a client of the weight store at cfg.BaseURL. It makes no call.
func Dial(cfg sillcall.Config) *Client {
	caller := sillcall.New(cfg)
	return &Client{Fetch: func(ctx context.Context, m sillid.ModelID, v sillid.WeightVersion) ([]byte, error) {
		response, err := caller.Get(ctx, URL("", m, v))
		if err != nil {
			return nil, eris.Wrap(err, "sillweightstore.Fetch")
		}
		if err := statusError(response); err != nil {
			return nil, eris.Wrapf(err, "sillweightstore.Fetch: %s version %d", m, v)
		}
		return response.Body, nil
	}}
}

func statusError(response sillcall.Response) error {
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(response.Header)}
	default:
		return eris.Errorf("status %d", response.Status)
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
