package sillbudget

import "github.com/prometheus/client_golang/prometheus"

// Reasons of the counter.
const (
	reasonShort   = "refused"
	reasonEvicted = "evicted"
	reasonDropped = "dropped"
)

// Metrics are the metrics of a budget. A nil Metrics counts nothing.
type Metrics struct {
	registerer prometheus.Registerer
	short      *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{registerer: r, short: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabisill_body_budget_short_total",
		Help: "Requests that got no memory for their bytes: refused, or evicted or dropped for another request",
	}, []string{"reason"})}
	r.MustRegister(m.short)
	return m
}

func (m *Metrics) follow(b *Budget) {
	if m == nil {
		return
	}
	m.registerer.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "wasabisill_body_budget_bytes", Help: "Bytes of bodies and unread answers that the process holds",
		}, func() float64 { return float64(b.Taken()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "wasabisill_body_budget_limit_bytes", Help: "Bytes of bodies and unread answers that the process may hold",
		}, func() float64 { return float64(b.size) }))
}

func (m *Metrics) count(reason string) {
	if m != nil {
		m.short.WithLabelValues(reason).Inc()
	}
}
