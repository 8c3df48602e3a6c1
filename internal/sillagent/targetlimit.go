package sillagent

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillrate"
)

// LimitHeader names, in each answer of a target in need, the requests a second that it takes.
const LimitHeader = "Request-Limit"

// targetLimit is what the target says of its limit on requests.
type targetLimit struct {
	mu sync.Mutex
	// namedAt is when an answer last named the limit.
	namedAt time.Time
}

// observeLimit applies what the target's answer to a request says of its limit on requests. An
// answer that names none ends the limit only if its request was sent after the limit was last
// named: a slow answer may be older.
func (a *Agent) observeLimit(sentAt time.Time, h http.Header) {
	notice := sillrate.Parse(h.Values(LimitHeader))
	a.limit.mu.Lock()
	defer a.limit.mu.Unlock()
	switch {
	case notice.Kind == sillrate.Invalid:
		a.cfg.Metrics.InvalidLimits.Inc()
		a.cfg.Log.Warn("the target's limit on requests is invalid; ignoring it", zap.Strings("values", h.Values(LimitHeader)))
	case notice.Kind == sillrate.Named:
		a.limit.namedAt = a.cfg.Now()
		a.setLimit(notice.Limit)
	case sentAt.After(a.limit.namedAt):
		a.setLimit(0)
	}
}

// setLimit sets the limit on requests of the target; 0 stands for none.
func (a *Agent) setLimit(limit sillrate.PerSecond) {
	if a.cfg.Gate.SetRate(limit) {
		a.cfg.Metrics.TargetLimit.Set(float64(limit))
		a.cfg.Log.Info("the target's limit on requests changed", zap.Float64("per-second", float64(limit)))
	}
}
