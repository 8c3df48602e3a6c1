package sillforwarder

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// TestRepeatedRequestAvoidsErrors guards against a request that is sent again to the target that
// answered it with an error, and against an error that is kept from its caller.
func TestRepeatedRequestAvoidsErrors(t *testing.T) {
	for _, kind := range []sillcatalog.Kind{sillcatalog.Idempotent, sillcatalog.Stream} {
		for _, status := range []int{http.StatusInternalServerError, http.StatusGatewayTimeout} {
			t.Run(string(kind)+" "+strconv.Itoa(status), func(t *testing.T) {
				f := newFixtureWith(t, silltarget.Config{UnsoundTargets: true}, behaviour{Status: status}, behaviour{})
				resp, err := f.do(t.Context(), route(kind, 2), time.Second)
				checkStatus(t, resp, err, status)
				resp, err = f.do(t.Context(), route(kind, 2), time.Second)
				checkStatus(t, resp, err, http.StatusOK)
				if calls := len(f.targets[0].Calls()); calls != 1 {
					t.Errorf("the failing target got %d calls, want 1", calls)
				}
			})
		}
	}
}

// TestRepeatedRequestWithoutTheSetting guards against requests that avoid a target for its errors
// where the settings don't say that targets may be unsound.
func TestRepeatedRequestWithoutTheSetting(t *testing.T) {
	f := newFixture(t, behaviour{Status: http.StatusInternalServerError}, behaviour{})
	const repetitions = 10
	for range repetitions {
		resp, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), time.Second)
		checkStatus(t, resp, err, http.StatusInternalServerError)
	}
	if calls := len(f.targets[0].Calls()); calls != repetitions {
		t.Errorf("the first target got %d calls, want %d", calls, repetitions)
	}
}

// TestErrorsEverywhereArePassedOn guards against a request that is refused since all targets
// answered it with an error.
func TestErrorsEverywhereArePassedOn(t *testing.T) {
	f := newFixtureWith(t, silltarget.Config{UnsoundTargets: true}, behaviour{Status: http.StatusInternalServerError}, behaviour{Status: http.StatusInternalServerError})
	for range 6 {
		resp, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), time.Second)
		checkStatus(t, resp, err, http.StatusInternalServerError)
	}
}

// TestErrorsAreNoSpeed guards against a target that becomes the cheapest one since its errors
// come fast.
func TestErrorsAreNoSpeed(t *testing.T) {
	f := newFixture(t, behaviour{Status: http.StatusInternalServerError})
	resp, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), time.Second)
	checkStatus(t, resp, err, http.StatusInternalServerError)
	if latency := f.directory.UnitLatency("a"); latency != 0 {
		t.Errorf("unit latency %v after an error, want none", latency)
	}
}

func checkStatus(t *testing.T, resp *Response, err error, want int) {
	t.Helper()
	if err != nil || resp.Status != want {
		t.Fatalf("response %+v, error %v; want status %d", resp, err, want)
	}
	if resp.Stream != nil {
		buffer := make([]byte, 1<<10)
		for range 8 {
			if _, err := resp.Stream.Read(buffer); err != nil {
				break
			}
		}
		resp.Stream.Close()
	}
}

func TestErrorMemory(t *testing.T) {
	now := time.Unix(1000, 0)
	content := func(i int) sillcrash.Fingerprint {
		return sillcrash.NewFingerprint("org", http.MethodPost, "/x", []byte(strconv.Itoa(i)))
	}
	m := newErrorMemory()
	for i, want := range []silltarget.Outcome{silltarget.Errored, silltarget.Errored} {
		if got := m.record(now, content(0), "a"); got != want {
			t.Errorf("error %d at one target: %v, want %v", i+1, got, want)
		}
	}
	if got := m.record(now, content(0), "b"); got != silltarget.ErroredAgain {
		t.Errorf("error at a second target: %v", got)
	}
	if targets := m.targets(now, content(0)); !targets["a"] || !targets["b"] {
		t.Errorf("targets %v, want a and b", targets)
	}
	if targets := m.targets(now.Add(errorRetention), content(0)); len(targets) > 0 {
		t.Errorf("targets %v after the retention time", targets)
	}
	for i := range 3 * maxErrorContents {
		m.record(now, content(i), "a")
	}
	if n := len(m.contents); n > maxErrorContents {
		t.Errorf("%d contents are kept, want at most %d", n, maxErrorContents)
	}
}
