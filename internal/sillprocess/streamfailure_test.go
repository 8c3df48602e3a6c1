package sillprocess

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// TestStreamEndsAsBrokenWhenTheNextTargetFails guards against a stream that broke off ending
// as if it were complete, or holding the answer of the next target, which is an error.
func TestStreamEndsAsBrokenWhenTheNextTargetFails(t *testing.T) {
	for _, tc := range []struct {
		name string
		next map[string]any
	}{
		{"it refuses", map[string]any{"fail-share": 1}},
		{"its answers are lost", map[string]any{"answer-lost": true}},
		{"it crashes", map[string]any{"crash-on-body": "sing"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size{engines: 2, gateways: 1})
			c.awaitServing()
			var got answer
			group := sillgroup.New(t.Context())
			group.Go(func(context.Context) {
				got = c.send(c.gateways[0], request{organisation: "hall", path: "/cue-lm/v1/completions", body: `{"prompt":"sing","max_tokens":4000,"stream":true}`})
			})
			running := c.awaitGenerating(t)
			for _, tg := range c.targets {
				c.faults(tg, "completions", tc.next)
			}
			running.crash()
			group.Wait()
			if strings.Contains(got.body, "[DONE]") || strings.Contains(got.body, "fault of the stand-in") || strings.Contains(got.body, "HTTP/1.1") {
				t.Errorf("the stream ends with %q", got.body[max(0, len(got.body)-300):])
			}
			if got.err == nil {
				t.Error("the stream ends as a whole response")
			}
			if !strings.Contains(got.body, "data:") {
				t.Errorf("no part of the stream reached the caller: status %d, %q", got.status, got.body)
			}
		})
	}
}

// awaitGenerating returns the engine that generates tokens.
func (c *cluster) awaitGenerating(t *testing.T) *target {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, tg := range c.targets {
			for _, run := range c.record(tg, "") {
				if tokens, _ := run["tokens"].([]any); run["end"].(float64) == 0 && len(tokens) > 4 {
					return tg
				}
			}
		}
	}
	t.Fatal("no engine generates")
	return nil
}
