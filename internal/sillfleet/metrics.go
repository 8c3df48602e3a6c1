package sillfleet

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
)

// Metrics are the fleet's metrics.
type Metrics struct {
	// Targets counts the targets of the subset by state.
	Targets *prometheus.GaugeVec
	// ConnectionsLost counts connections that were lost or could not be opened.
	ConnectionsLost prometheus.Counter
	// ListFailures counts failed reads of the instance list.
	ListFailures prometheus.Counter
	// Ejections counts ejections of targets by reason.
	Ejections *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Targets:         sillmetric.GaugeVec("wasabisill_gateway_targets", "Targets of the gateway's subset, by pool and state.", "pool", "state"),
		ConnectionsLost: sillmetric.Counter("wasabisill_gateway_connections_lost_total", "Connections to agents that were given up or could not be opened."),
		ListFailures:    sillmetric.Counter("wasabisill_gateway_instance_list_failures_total", "Failed reads of the platform's instance list."),
		Ejections:       sillmetric.CounterVec("wasabisill_gateway_ejections_total", "Targets that were taken out of the choice for a while, by reason.", "reason"),
	}
	r.MustRegister(m.Targets, m.ConnectionsLost, m.ListFailures, m.Ejections)
	return m
}
