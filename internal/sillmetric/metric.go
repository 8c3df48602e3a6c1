// Package sillmetric creates the Prometheus metrics of the other packages.
package sillmetric

import "github.com/prometheus/client_golang/prometheus"

// Counter returns a counter.
func Counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
}

// CounterVec returns counters partitioned by labels.
func CounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// Gauge returns a gauge.
func Gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

// GaugeVec returns gauges partitioned by labels.
func GaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
}
