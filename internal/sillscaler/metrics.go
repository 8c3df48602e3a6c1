package sillscaler

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// Metrics holds the counters of the package.
type Metrics struct {
	// Orders counts the sent orders by action and outcome.
	Orders *prometheus.CounterVec
	// Reconciled counts looked-up orders by their state at the platform (present,
	// absent).
	Reconciled *prometheus.CounterVec
	// WriteFailures counts failed table writes by step and reason.
	WriteFailures *prometheus.CounterVec
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Orders:        sillmetric.CounterVec("wasabisill_scale_orders_total", "Sends of orders.", "action", "outcome"),
		Reconciled:    sillmetric.CounterVec("wasabisill_scale_reconciled_total", "Orders looked up.", "state"),
		WriteFailures: sillmetric.CounterVec("wasabisill_scale_refusals_total", "Failed writes of the table.", "step", "reason"),
	}
	r.MustRegister(m.Orders, m.Reconciled, m.WriteFailures)
	return m
}

func (m *Metrics) countWriteFailure(step string, err error) {
	m.WriteFailures.WithLabelValues(step, silltable.Result(err)).Inc()
}

func orderOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.Is(err, sillorder.ErrFenced):
		return "fenced"
	case errors.Is(err, sillorder.ErrRejected):
		return "rejected"
	case errors.Is(err, sillcall.ErrNotPermitted):
		return "lease-lost"
	case errors.Is(err, sillcall.ErrNotSent):
		return "not-sent"
	default:
		return "unknown"
	}
}
