package sillbundlestore

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// Metrics holds the Prometheus metrics of a Publisher and a Service.
type Metrics struct {
	accepts     *prometheus.CounterVec
	polls       *prometheus.CounterVec
	retries     *prometheus.CounterVec
	refused     *prometheus.CounterVec
	version     prometheus.Gauge
	withdrawals prometheus.Gauge
}

// NewMetrics returns the metrics, registered at reg unless it is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		accepts:     sillmetric.CounterVec("wasabisill_bundle_accepts_total", "Bundles handed in by result.", "result"),
		polls:       sillmetric.CounterVec("wasabisill_bundle_polls_total", "Store calls that follow the bundle by call and result.", "call", "result"),
		retries:     sillmetric.CounterVec("wasabisill_bundle_retries_total", "Store calls tried again, by reason.", "reason"),
		refused:     sillmetric.CounterVec("wasabisill_bundle_offers_refused_total", "Offered bundles and withdrawals that were not applied, by reason.", "reason"),
		version:     sillmetric.Gauge("wasabisill_bundle_version", "Bundle version in force."),
		withdrawals: sillmetric.Gauge("wasabisill_bundle_withdrawn_keys", "Keys withdrawn by notices."),
	}
	if reg != nil {
		reg.MustRegister(m.accepts, m.polls, m.retries, m.refused, m.version, m.withdrawals)
	}
	return m
}

func (m *Metrics) accepted(err error) {
	var conflict *Conflict
	result := "invalid"
	switch {
	case err == nil:
		result = "accepted"
	case errors.As(err, &conflict):
		result = "conflict"
	case errors.Is(err, ErrNotAccepted):
		result = "unavailable"
	case errors.Is(err, ErrAcceptUnknown):
		result = "unknown"
	}
	m.accepts.WithLabelValues(result).Inc()
}

func (m *Metrics) polled(call string, err error) {
	result := "done"
	if err != nil {
		result = "failed"
	}
	m.polls.WithLabelValues(call, result).Inc()
}

func (m *Metrics) retried(err error) {
	reason := "unavailable"
	switch {
	case errors.Is(err, silltable.ErrConflict):
		reason = "conflict"
	case errors.Is(err, silltable.ErrUnknown), errors.Is(err, sillobject.ErrUnknown):
		reason = "answer-lost"
	}
	m.retries.WithLabelValues(reason).Inc()
}

func (m *Metrics) offerRefused(err error) {
	reason := "signature"
	switch {
	case errors.Is(err, ErrOldVersion):
		reason = "old-version"
	case errors.Is(err, ErrWrongVersion):
		reason = "wrong-version"
	}
	m.refused.WithLabelValues(reason).Inc()
}

func (m *Metrics) inForce(s *Snapshot) {
	m.version.Set(float64(s.Version))
	m.withdrawals.Set(float64(len(s.Withdrawn)))
}
