package sillagent

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
)

// Metrics are the agent's counters.
type Metrics struct {
	// Refused counts requests that did not run, by kind.
	Refused *prometheus.CounterVec
	// Failed counts requests that ran and failed, by kind and outcome.
	Failed *prometheus.CounterVec
	// Unattributable counts generations without attribution, by reason.
	Unattributable *prometheus.CounterVec
	// MalformedFrames counts streams that broke the protocol.
	MalformedFrames prometheus.Counter
	// Tokens counts generated tokens.
	Tokens prometheus.Counter
	// Running is the number of requests that the target has now.
	Running prometheus.Gauge
	// TargetLimit is the requests a second that the target takes by its own word; 0 if it
	// names no limit.
	TargetLimit prometheus.Gauge
	// InvalidLimits counts answers with a limit in a form that is not defined.
	InvalidLimits prometheus.Counter
}

// NewMetrics registers the agent's counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabisill_agent_refused_total",
			Help: "Requests that the agent refused before the target got them, by kind.",
		}, []string{"kind"}),
		Failed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabisill_agent_failed_total",
			Help: "Requests that failed after the target may have got them, by kind and outcome.",
		}, []string{"kind", "outcome"}),
		Unattributable: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabisill_agent_unattributable_total",
			Help: "Generations whose tokens can't be attributed to weight versions, by reason.",
		}, []string{"reason"}),
		MalformedFrames: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabisill_agent_malformed_frames_total",
			Help: "Streams closed because a frame broke the inner protocol.",
		}),
		Tokens: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabisill_agent_tokens_total",
			Help: "Tokens that the target generated.",
		}),
		Running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "wasabisill_agent_running_requests",
			Help: "Requests that the target has now.",
		}),
		TargetLimit: sillmetric.Gauge("wasabisill_agent_target_limit",
			"Requests a second that the target takes by its own word; 0 if it names no limit."),
		InvalidLimits: sillmetric.Counter("wasabisill_agent_invalid_limits_total",
			"Answers of the target with a limit on requests in a form that is not defined."),
	}
	r.MustRegister(m.Refused, m.Failed, m.Unattributable, m.MalformedFrames, m.Tokens, m.Running, m.TargetLimit, m.InvalidLimits)
	return m
}
