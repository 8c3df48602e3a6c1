package sillweightswap

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
)

// Metrics are the metrics of an agent's weight fetches and loads.
type Metrics struct {
	// Fetches counts fetched versions by source: store or peer.
	Fetches *prometheus.CounterVec
	// FetchFailures counts failed fetches by source and reason.
	FetchFailures *prometheus.CounterVec
	// Swaps counts loads by outcome: ok, failed, unknown, not-reached or fenced.
	Swaps *prometheus.CounterVec
	// MessageFailures counts failed exchanges of statuses with other agents.
	MessageFailures prometheus.Counter
	// TakenOut counts versions that the engine failed to load with every attempt.
	TakenOut prometheus.Counter
	// HeldBytes is the size of the weights in memory.
	HeldBytes prometheus.Gauge
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Fetches:         sillmetric.CounterVec("wasabisill_agent_weight_fetches_total", "Weight versions that were fetched, by source.", "source"),
		FetchFailures:   sillmetric.CounterVec("wasabisill_agent_weight_fetch_failures_total", "Failed fetches of weights, by source and reason; each is tried again.", "source", "reason"),
		Swaps:           sillmetric.CounterVec("wasabisill_agent_weight_swaps_total", "Orders to load weights, by outcome.", "outcome"),
		MessageFailures: sillmetric.Counter("wasabisill_agent_weight_message_failures_total", "Statuses that did not reach another agent; they are sent again."),
		TakenOut:        sillmetric.Counter("wasabisill_agent_weight_taken_out_total", "Weight versions that the engine failed to load for good; its target is out of serving."),
		HeldBytes:       sillmetric.Gauge("wasabisill_agent_weight_held_bytes", "Size of the weights that the agent holds for its engine and for other agents."),
	}
	r.MustRegister(m.Fetches, m.FetchFailures, m.Swaps, m.MessageFailures, m.TakenOut, m.HeldBytes)
	return m
}
