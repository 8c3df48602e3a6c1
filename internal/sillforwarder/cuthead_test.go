package sillforwarder

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// TestCutHeads guards against a response whose target stopped in the middle of its head
// being passed on as a complete one.
func TestCutHeads(t *testing.T) {
	for name, head := range map[string]string{
		"with a length":    "HTTP/1.1 200 OK\r\nStand-Signature: s\r\nContent-Length: 120\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nStand-Signature: signed\r\nConnection: close\r\n\r\n",
		"chunked":          "HTTP/1.1 200 OK\r\nStand-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\nStand-Signature: s\r\n\r\n",
		"bare line feeds":  "HTTP/1.1 200 OK\nStand-Signature: s\nContent-Length: 0\n\n",
	} {
		for _, kind := range []sillcatalog.Kind{sillcatalog.Idempotent, sillcatalog.Stream} {
			t.Run(fmt.Sprint(name, " on a route of kind ", kind), func(t *testing.T) {
				t.Parallel()
				for cut := range len(head) - 1 {
					checkCutHead(t, head[:cut], kind)
				}
			})
		}
	}
}

// checkCutHead checks that a request gets no response from a target that sends a part of a head.
func checkCutHead(t *testing.T, sent string, kind sillcatalog.Kind) {
	t.Helper()
	f := newFixture(t)
	f.directory.Apply(silltarget.Entry{
		ID: "cut", Pool: "p", Address: startRaw(t, sent), State: silltarget.Ready, Slots: 4, StartedAt: time.UnixMilli(1),
	})
	resp, err := f.do(t.Context(), route(kind, 1), time.Second)
	var refusal *Refusal
	if resp != nil || !errors.As(err, &refusal) || refusal.NotRun {
		t.Errorf("after %q: response %+v, error %v", sent, resp, err)
	}
}
