package sillweightswap

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillweight"
	"github.com/wasabisill/wasabisill/internal/sillweightstore"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// fetchTimeout limits one fetch.
const fetchTimeout = time.Minute

func (r *Runner) fetch(ctx context.Context, c sillweight.Command, address, hash string, model sillid.ModelID) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	source := "store"
	var data []byte
	var err error
	if c.Kind == sillweight.FetchPeer {
		source = "peer"
		data, err = r.cfg.FetchPeer(ctx, address, &sillwire.FetchWeights{Model: model, Version: c.Version})
	} else {
		data, err = r.cfg.FetchStore(ctx, model, c.Version)
	}
	if err == nil {
		err = verifyHash(hash, data)
	}
	if err == nil {
		r.cfg.Metrics.Fetches.WithLabelValues(source).Inc()
	} else {
		r.cfg.Metrics.FetchFailures.WithLabelValues(source, failureReason(err)).Inc()
		r.cfg.Log.Debug("Could not fetch the weights.", zap.String("source", source), zap.Error(err))
		waitForRateLimit(ctx, err)
	}
	r.enqueue(fetchFinished{version: c.Version, data: data, err: err})
}

// errHashMismatch is returned for weights whose SHA-256 differs from the plan's Hash.
var errHashMismatch = errors.New("weights differ from the published hash: check what the trainer stored")

func verifyHash(hash string, data []byte) error {
	if hash == "" {
		return nil
	}
	if sum := sha256.Sum256(data); hex.EncodeToString(sum[:]) != hash {
		return eris.Wrap(errHashMismatch, "sillweightswap.verifyHash")
	}
	return nil
}

// waitForRateLimit waits for the time that the weight store gave if it refused the call
// by its rate limit.
func waitForRateLimit(ctx context.Context, err error) {
	var limit *sillweightstore.RateLimitError
	if !errors.As(err, &limit) {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(limit.RetryAfter):
	}
}

// failureReason returns the value of the metrics' label reason for a failed fetch.
func failureReason(err error) string {
	var limit *sillweightstore.RateLimitError
	switch {
	case errors.As(err, &limit):
		return "limit"
	case errors.Is(err, sillweightstore.ErrNotFound):
		return "not-found"
	case errors.Is(err, errHashMismatch):
		return "hash"
	case errors.Is(err, errNotHeld):
		return "not-held"
	case errors.Is(err, context.DeadlineExceeded):
		return "timeout"
	}
	return "connection"
}
