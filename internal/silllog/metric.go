package silllog

import "github.com/prometheus/client_golang/prometheus"

// Collector returns the metric of lines that were not written.
func (q *Queue) Collector() prometheus.Collector {
	opts := func(reason string) prometheus.CounterOpts {
		return prometheus.CounterOpts{
			Name: "wasabisill_log_lines_left_out_total", Help: "Lines of the log that were not written.",
			ConstLabels: prometheus.Labels{"reason": reason},
		}
	}
	return collectors{
		prometheus.NewCounterFunc(opts("many-alike"), func() float64 { return float64(q.LeftOut()) }),
		prometheus.NewCounterFunc(opts("slow-reader"), func() float64 { return float64(q.Dropped()) }),
	}
}

// collectors is several collectors as one.
type collectors []prometheus.Collector

// Describe implements prometheus.Collector.
func (c collectors) Describe(ch chan<- *prometheus.Desc) {
	for _, one := range c {
		one.Describe(ch)
	}
}

// Collect implements prometheus.Collector.
func (c collectors) Collect(ch chan<- prometheus.Metric) {
	for _, one := range c {
		one.Collect(ch)
	}
}
