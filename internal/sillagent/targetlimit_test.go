package sillagent

import (
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllimit"
	"github.com/wasabisill/wasabisill/internal/sillrate"
)

// TestWhatEndsALimit guards against a limit that ends with a slow answer, which the target
// began before it named the limit.
func TestWhatEndsALimit(t *testing.T) {
	named := http.Header{LimitHeader: {"3"}}
	for name, tc := range map[string]struct {
		sentBefore time.Duration
		header     http.Header
		want       sillrate.PerSecond
	}{
		"an answer to a newer request": {-time.Second, http.Header{}, 0},
		"an answer to an older one":    {time.Second, http.Header{}, 3},
		"an invalid limit":             {-time.Second, http.Header{LimitHeader: {"many"}}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			gate := silllimit.NewGate(silllimit.GateConfig{Queue: silllimit.Config{MaxConcurrent: 1, MaxWaiting: 1}, Now: time.Now})
			a := &Agent{cfg: Config{Now: time.Now, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()), Gate: gate}}
			a.observeLimit(time.Now(), named)
			a.observeLimit(time.Now().Add(-tc.sentBefore), tc.header)
			if gate.SetRate(tc.want) {
				t.Errorf("the limit is not %g", tc.want)
			}
		})
	}
}
