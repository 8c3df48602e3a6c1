package sillforwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// reportSpeed records a response that reports how long work takes.
func (f *fixture) reportSpeed(t *testing.T) {
	t.Helper()
	now := time.Now()
	g, ok := f.directory.Pick(now, silltarget.Query{Pool: "p"})
	if !ok {
		t.Fatal("no slot")
	}
	f.directory.Observe(now, g, &silltarget.Load{Slots: 4, Running: 1, Duration: 100}, 0)
	f.directory.Release(now, g, silltarget.Answered)
}

// TestOwedRequestsYield guards against a score request that queues at a target in front of
// callers, and against one that callers starve. In pools whose targets don't report how long work
// takes, it queues at once.
func TestOwedRequestsYield(t *testing.T) {
	t.Run("speed reported", func(t *testing.T) { checkOwedRequests(t, true) })
	t.Run("no speed reported", func(t *testing.T) { checkOwedRequests(t, false) })
}

func checkOwedRequests(t *testing.T, yields bool) {
	f := newFixture(t, behaviour{})
	if yields {
		f.reportSpeed(t)
	}
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
		if waited := time.Since(sentAt) >= maxBesideWait; waited != (owed && yields) {
			t.Errorf("owed %t: answered after %v", owed, time.Since(sentAt))
		}
	}
}
