package sillforwarder

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// Metrics counts refusals and retries by their reasons.
type Metrics struct {
	refusals *prometheus.CounterVec
	retries  *prometheus.CounterVec
	latency  prometheus.Histogram
}

// NewMetrics registers the metrics; a nil registerer keeps them to itself.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabisill_direct_refusals_total",
			Help: "Requests without an answer of a target, by reason.",
		}, []string{"reason"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabisill_direct_failed_attempts_total",
			Help: "Attempts at targets that gave no answer, by outcome.",
		}, []string{"outcome"}),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "wasabisill_direct_answer_seconds",
			Help:    "Time from the sending of an attempt to its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}),
	}
	if r != nil {
		r.MustRegister(m.refusals, m.retries, m.latency)
	}
	return m
}

func (m *Metrics) refuse(r Reason)             { m.refusals.WithLabelValues(string(r)).Inc() }
func (m *Metrics) retry(o silltarget.Outcome)  { m.retries.WithLabelValues(o.String()).Inc() }
func (m *Metrics) answered(took time.Duration) { m.latency.Observe(took.Seconds()) }
