package sillagent

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillrate"
)

// LimitHeader names, in each answer of a target in need, the requests a second that it takes.
const LimitHeader = "Request-Limit"

// observeLimit applies what an answer of the target says of its limit on requests.
func (a *Agent) observeLimit(h http.Header) {
	notice := sillrate.Parse(h.Values(LimitHeader))
	if notice.Kind == sillrate.Invalid {
		a.cfg.Metrics.InvalidLimits.Inc()
		a.cfg.Log.Warn("the target's limit on requests is invalid; ignoring it", zap.Strings("values", h.Values(LimitHeader)))
		return
	}
	a.setLimit(notice.Limit)
}

// setLimit sets the limit on requests of the target; 0 stands for none.
func (a *Agent) setLimit(limit sillrate.PerSecond) {
	if a.cfg.Gate.SetRate(limit) {
		a.cfg.Metrics.TargetLimit.Set(float64(limit))
		a.cfg.Log.Info("the target's limit on requests changed", zap.Float64("per-second", float64(limit)))
	}
}
