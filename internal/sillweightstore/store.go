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

// ErrNotFound is returned for a version that the store does not hold.
var ErrNotFound = errors.New("weight version not found: check that the trainer stored it")

// RateLimitError is returned if the store's rate limit refused the call.
type RateLimitError struct {
	// RetryAfter is how long the caller waits before the next call.
	RetryAfter time.Duration
}

// Error tells when to retry.
func (e *RateLimitError) Error() string {
	return fmt.Sprintf("weight store at its rate limit: retry after %s", e.RetryAfter)
}

// defaultRetryAfter holds if a refusal names no time.
const defaultRetryAfter = time.Second

// Client is the weight store as the rest of the program sees it. Its fields are
// safe for concurrent use.
type Client struct {
	// Fetch reads the weights of one version. Errors: ErrNotFound, *LimitError;
	// any other may be retried.
	Fetch func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) ([]byte, error)
}

// URL returns the path of one version's weights behind a base address.
func URL(base string, model sillid.ModelID, version sillid.WeightVersion) string {
	return fmt.Sprintf("%s/weights/%s/%d", base, url.PathEscape(string(model)), version)
}

// Dial returns the weight store behind an HTTP address. It makes no call.
func Dial(cfg sillcall.Config) *Client {
	caller := sillcall.New(cfg)
	return &Client{Fetch: func(ctx context.Context, m sillid.ModelID, v sillid.WeightVersion) ([]byte, error) {
		answer, err := caller.Get(ctx, URL("", m, v))
		if err != nil {
			return nil, eris.Wrap(err, "sillweightstore.Fetch")
		}
		if err := statusError(answer); err != nil {
			return nil, eris.Wrapf(err, "sillweightstore.Fetch: %s version %d", m, v)
		}
		return answer.Body, nil
	}}
}

func statusError(answer sillcall.Answer) error {
	switch answer.Status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusTooManyRequests:
		return &RateLimitError{RetryAfter: retryAfter(answer.Header)}
	default:
		return eris.Errorf("status %d", answer.Status)
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}
