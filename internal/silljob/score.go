package silljob

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillforwarder"
)

// scoreRetryDelay is the least time between two requests for the same score.
const scoreRetryDelay = 100 * time.Millisecond

// score requests the score of a complete generation, with retries, and finishes the
// item.
func (r *Runner) score(ctx context.Context, it *itemRun) {
	r.mu.Lock()
	it.phase = scoring
	result := Result{Item: it.item.ID, Completed: true, Text: it.text(), Versions: it.progress().Versions}
	r.mu.Unlock()
	if it.item.ScoreRequest == nil {
		r.finish(it, result, "")
		return
	}
	for ctx.Err() == nil {
		response, wait := r.requestScore(ctx, it)
		switch {
		case response != nil && response.Status < http.StatusMultipleChoices && response.Metadata.Signature != "":
			result.Score = response.Metadata.Signature
			r.finish(it, result, "")
			return
		case response != nil && r.recordScoreFailure(it, response.Status):
			r.finish(it, Result{Item: it.item.ID}, "scorer failed")
			return
		}
		if at := it.job.sub.AbandonAt(); !at.IsZero() && time.Now().After(at) {
			r.finish(it, Result{Item: it.item.ID}, "given up in time")
			return
		}
		sleep(ctx, wait)
	}
}

// requestScore sends the score request once. It returns the response, or nil if there
// is none, and the delay before a retry.
func (r *Runner) requestScore(ctx context.Context, it *itemRun) (*sillforwarder.Response, time.Duration) {
	s := it.item.ScoreRequest
	catalog := r.cfg.Catalog.Get()
	if catalog == nil {
		return nil, scoreRetryDelay
	}
	route := catalog.Route(s.Host, s.Path)
	if route == nil {
		r.cfg.Log.Warn("No route for a score request; retrying.", zap.String("request", string(s.ID)), zap.String("job", string(it.job.sub.Job)))
		return nil, scoreRetryDelay
	}
	response, err := r.cfg.Forwarder.Do(ctx, &sillforwarder.Request{
		ID: s.ID, Route: route, Version: catalog.Version, Pool: route.PickPool(rand.Float64()), Method: http.MethodPost,
		RequestURI: s.Path, Host: s.Host, Header: make(http.Header), Body: s.Body,
		Arrived: time.Now(), Deadline: time.Now().Add(route.Timeout), AllowLate: true, Owed: true,
		Priority: r.priority(it.job), Homes: catalog.Homes(it.job.sub.Organisation, route),
	})
	var refusal *sillforwarder.Refusal
	if errors.As(err, &refusal) {
		return nil, max(refusal.RetryAfter, scoreRetryDelay)
	}
	return response, scoreRetryDelay
}

// recordScoreFailure counts a response with status 500 to a score request. It returns
// whether the attempts that the scorer's route allows are used up.
func (r *Runner) recordScoreFailure(it *itemRun, status int) bool {
	catalog := r.cfg.Catalog.Get()
	route := catalog.Route(it.item.ScoreRequest.Host, it.item.ScoreRequest.Path)
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == http.StatusInternalServerError {
		it.scoreFailures++
	}
	return route != nil && it.scoreFailures >= route.Attempts
}

// finish marks an item as finished and passes its result to the writer. abandonReason
// is empty for a completed item.
func (r *Runner) finish(it *itemRun, result Result, abandonReason string) {
	if abandonReason == "" {
		r.cfg.Log.Info("Item done.", zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
			zap.Int("bytes", len(result.Text)), zap.Any("versions", result.Versions), zap.String("score", result.Score))
	} else {
		r.cfg.Metrics.aborted.WithLabelValues(abandonReason).Inc()
		r.cfg.Log.Warn("Gave an item up.", zap.String("request", string(it.item.ID)),
			zap.String("job", string(it.job.sub.Job)), zap.String("why", abandonReason), zap.Int("failures", it.failures))
	}
	r.mu.Lock()
	it.phase = finished
	it.abandoned = !result.Completed
	it.events = nil
	r.dropContent(it)
	j := it.job
	j.pending = append(j.pending, result)
	r.mu.Unlock()
	j.notifyWriter()
	j.notifyLoader()
	r.notifyDispatcher()
}
