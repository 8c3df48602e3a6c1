package sillagent

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/silllimit"
	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// startRaw starts a target that sends the same bytes to each connection that has sent
// something, closes it, and returns its URL.
func startRaw(t *testing.T, response string) string {
	t.Helper()
	target, err := sillstandtarget.StartRaw(response)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return "http://" + target.Address()
}

// serviceAgent returns an agent beside the service at a URL.
func serviceAgent(url string) *Agent {
	return &Agent{service: newServiceClient(url), cfg: Config{
		Now: time.Now, Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry()),
		Gate: silllimit.NewGate(silllimit.GateConfig{Queue: silllimit.Config{MaxConcurrent: 1, MaxWaiting: 1}, Now: time.Now}),
	}}
}

// callRaw sends a request to a service that sends some bytes and closes.
func callRaw(t *testing.T, sent string) outcome {
	t.Helper()
	n := newTestRun("r", 1, true)
	n.req.Method, n.req.Path = "POST", "/x"
	return serviceAgent(startRaw(t, sent)).callService(t.Context(), n)
}

// TestCutHeads guards against a response whose target stopped in the middle of its head
// being passed on as a complete one.
func TestCutHeads(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 120\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\nContent-Type: text/plain\r\n\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\nContent-Type: text/plain\nContent-Length: 0\n\n",
	} {
		t.Run("service "+name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(head) - 1 {
				if result := callRaw(t, head[:cut]); result.failure == nil || len(result.whole) > 0 {
					t.Errorf("after %q: result %+v, want a failure", head[:cut], result)
				}
			}
		})
		t.Run("engine "+name, func(t *testing.T) {
			t.Parallel()
			for cut := range len(head) - 1 {
				engine := sillengine.New(sillengine.Config{BaseURL: startRaw(t, head[:cut]), CallTimeout: time.Second})
				generate := sillengine.Generate{Path: "/v1/completions", Body: []byte("{}"), RequestID: "r"}
				if err := engine.Generate(t.Context(), generate, func(sillengine.Part) error { return nil }); err == nil {
					t.Errorf("after %q: the generation is complete", head[:cut])
				}
			}
		})
	}
}
