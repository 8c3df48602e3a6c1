package sillpermit

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
)

// Metrics counts permits.
type Metrics struct {
	verdicts    *prometheus.CounterVec
	unreachable prometheus.Counter
}

// NewMetrics returns the metrics and registers them with r, unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		verdicts: sillmetric.CounterVec("wasabisill_permits_total",
			"Permits asked for requests to targets that name a limit, by outcome (granted, denied, over-share).", "outcome"),
		unreachable: sillmetric.Counter("wasabisill_permit_places_unreachable_total",
			"Permits decided by time slot, because the gateway that grants them was not reached."),
	}
	if r != nil {
		r.MustRegister(m.verdicts, m.unreachable)
	}
	return m
}

func (m *Metrics) countVerdict(v Verdict) {
	outcome := "denied"
	switch {
	case v.Granted:
		outcome = "granted"
	case v.OverShare:
		outcome = "over-share"
	}
	m.verdicts.WithLabelValues(outcome).Inc()
}
