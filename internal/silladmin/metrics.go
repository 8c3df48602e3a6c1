package silladmin

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
)

// Metrics counts the calls of the administration API.
type Metrics struct {
	refused   *prometheus.CounterVec
	accepted  prometheus.Counter
	withdrawn prometheus.Counter
}

// NewMetrics returns the metrics, registered at reg unless it is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		refused:   sillmetric.CounterVec("wasabisill_admin_refused_total", "Calls refused by kind of problem.", "kind"),
		accepted:  sillmetric.Counter("wasabisill_admin_accepted_total", "Bundles accepted."),
		withdrawn: sillmetric.Counter("wasabisill_admin_withdrawn_total", "Withdrawals applied."),
	}
	if reg != nil {
		reg.MustRegister(m.refused, m.accepted, m.withdrawn)
	}
	return m
}
