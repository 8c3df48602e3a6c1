package silllease

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// Metrics counts the acquisitions, losses and table calls of the leases of a process.
type Metrics struct {
	acquired prometheus.Counter
	lost     prometheus.Counter
	calls    *prometheus.CounterVec
}

// NewMetrics returns the metrics, registered with reg unless it is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		acquired: sillmetric.Counter("wasabisill_lease_taken_total", "Leases taken."),
		lost:     sillmetric.Counter("wasabisill_lease_lost_total", "Leases lost before they were given up."),
		calls:    sillmetric.CounterVec("wasabisill_lease_table_calls_total", "Table calls for leases by call and result.", "call", "result"),
	}
	if reg != nil {
		reg.MustRegister(m.acquired, m.lost, m.calls)
	}
	return m
}

func (m *Metrics) call(kind CommandKind, err error) {
	m.calls.WithLabelValues(kind.String(), silltable.Result(err)).Inc()
}

// String returns the name of the call as the metrics' label "call" has it.
func (k CommandKind) String() string {
	return [...]string{"wait", "read", "take", "renew", "step-down"}[k]
}
