// Package sillscorer is the client of the services that score samples. It is the
// only package that implements their protocol. A score call is idempotent: the same
// sample may be scored again.
package sillscorer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillclient"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Config configures a client of one scorer.
type Config struct {
	// BaseURL is the address of the scorer, without a path.
	BaseURL string
	// Timeout bounds each call.
	Timeout time.Duration
	// Client sends the calls; if nil, Dial creates one.
	Client *http.Client
}

// Request is one sample to be scored.
type Request struct {
	Sample sillid.SampleID
	Model  sillid.ModelID
	Prompt string
	Text   string
}

var (
	// ErrUnavailable is returned if the scorer is unreachable, exceeds the timeout,
	// responds with status 429 or 5xx, or returns no valid score.
	ErrUnavailable = errors.New("scorer unavailable: retry later or at another scorer")
	// ErrRefused is returned if the scorer rejects the sample permanently.
	ErrRefused = errors.New("scorer refused the sample: check the prompt and the scorer's log")
)

// Scorer is the interface to one scorer. Its field is safe for concurrent use.
type Scorer struct {
	// Score returns the sample's score, a finite number. Errors: ErrUnavailable, ErrRefused.
	Score func(ctx context.Context, request Request) (float64, error)
}

// maxResponseBytes bounds the body of one response.
const maxResponseBytes = 1 << 16

type client struct {
	Config
}

// Dial returns a client of the scorer at an HTTP address. It makes no call.
func Dial(cfg Config) *Scorer {
	if cfg.Client == nil {
		cfg.Client = sillclient.New(&http.Transport{MaxIdleConnsPerHost: 64})
	}
	c := &client{Config: cfg}
	return &Scorer{Score: c.score}
}

type scoreRequest struct {
	Sample sillid.SampleID `json:"sample-id"`
	Model  sillid.ModelID  `json:"model"`
	Prompt string          `json:"prompt"`
	Text   string          `json:"text"`
}

type scoreResponse struct {
	// Score is a pointer to distinguish a missing score from a score of 0.
	Score *float64 `json:"score"`
}

func (c *client) score(ctx context.Context, request Request) (float64, error) {
	body, err := json.Marshal(scoreRequest(request))
	if err != nil {
		return 0, eris.Wrap(err, "sillscorer.score: encode")
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.BaseURL+"/score", bytes.NewReader(body))
	if err != nil {
		return 0, eris.Wrap(err, "sillscorer.score: request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.Client.Do(req)
	if err != nil {
		return 0, eris.Wrapf(ErrUnavailable, "sillscorer.score: %v", err)
	}
	defer resp.Body.Close()
	return readScore(resp)
}

func readScore(resp *http.Response) (float64, error) {
	switch {
	case resp.StatusCode == http.StatusOK:
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode >= http.StatusInternalServerError:
		return 0, eris.Wrapf(ErrUnavailable, "sillscorer.score: status %d", resp.StatusCode)
	default:
		return 0, eris.Wrapf(ErrRefused, "sillscorer.score: status %d", resp.StatusCode)
	}
	var response scoreResponse
	err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&response)
	if err != nil || response.Score == nil || math.IsNaN(*response.Score) || math.IsInf(*response.Score, 0) {
		return 0, eris.Wrap(ErrUnavailable, "sillscorer.score: answer holds no score")
	}
	return *response.Score, nil
}
