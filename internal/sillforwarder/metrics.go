package sillforwarder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// Metrics counts refusals by reason and failed attempts by outcome, and measures
// the latency of complete responses.
type Metrics struct {
	refusals       *prometheus.CounterVec
	failedAttempts *prometheus.CounterVec
	// besideTimeouts counts requests without a caller that found no room beside those of callers.
	besideTimeouts prometheus.Counter
	latency        prometheus.Histogram
	// waits counts requests that waited for a target, by class and how the wait ended.
	waits *prometheus.CounterVec
}

// NewMetrics returns the metrics and registers them with r, unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals:       sillmetric.CounterVec("wasabisill_direct_refusals_total", "Requests without an answer of a target, by reason.", "reason"),
		failedAttempts: sillmetric.CounterVec("wasabisill_direct_failed_attempts_total", "Attempts at targets that gave no answer or an error, by outcome.", "outcome"),
		besideTimeouts: sillmetric.Counter("wasabisill_direct_beside_timeouts_total", "Score requests that queued like those of callers after they found no room beside them."),
		waits:          sillmetric.CounterVec("wasabisill_direct_waits_total", "Requests that waited for a target, by class and outcome.", "class", "outcome"),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "wasabisill_direct_answer_seconds",
			Help:    "Time from the sending of an attempt to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}),
	}
	if r != nil {
		r.MustRegister(m.refusals, m.failedAttempts, m.besideTimeouts, m.latency, m.waits)
	}
	return m
}

func (m *Metrics) countRefusal(r Reason) { m.refusals.WithLabelValues(string(r)).Inc() }
func (m *Metrics) countFailedAttempt(o silltarget.Outcome) {
	m.failedAttempts.WithLabelValues(o.String()).Inc()
}
func (m *Metrics) observeLatency(took time.Duration) { m.latency.Observe(took.Seconds()) }
