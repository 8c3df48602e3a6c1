package sillforwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// TestOwedRequestsYield guards against a score request that queues at a target in front of
// callers, and against one that callers starve.
func TestOwedRequestsYield(t *testing.T) {
	f := newFixture(t, behaviour{})
	for range 4 {
		if _, ok := f.directory.Pick(time.Now(), silltarget.Query{Pool: "p"}); !ok {
			t.Fatal("no slot")
		}
	}
	for _, owed := range []bool{false, true} {
		sentAt := time.Now()
		resp, err := f.forwarder.Do(t.Context(), &Request{
			ID: "req", Route: route(sillcatalog.Idempotent, 2), Pool: "p", Method: http.MethodPost, RequestURI: "/x", Host: "h",
			Header: make(http.Header), Arrived: sentAt, Deadline: sentAt.Add(5 * time.Second), Owed: owed, AllowLate: owed,
		})
		checkResponse(t, resp, err)
		if waited := time.Since(sentAt) >= maxBesideWait; waited != owed {
			t.Errorf("owed %t: answered after %v", owed, time.Since(sentAt))
		}
	}
}
