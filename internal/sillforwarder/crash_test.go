package sillforwarder

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// crashing closes the connection in the middle of the response.
var crashing = behaviour{Truncated: true}

// send sends a request with a body and returns the error.
func (f *fixture) send(t *testing.T, r *sillcatalog.Route, body string, owed bool) error {
	t.Helper()
	resp, err := f.forwarder.Do(t.Context(), &Request{
		ID: "req", Route: r, Pool: "p", Organisation: "org", Method: http.MethodPost, RequestURI: "/x", Host: "h",
		Header: make(http.Header), Body: []byte(body), Arrived: time.Now(), Deadline: time.Now().Add(time.Second), Owed: owed,
	})
	if err != nil || resp.Stream == nil {
		return err
	}
	defer resp.Stream.Close()
	_, err = io.Copy(io.Discard, resp.Stream)
	return err
}

// restart registers a new run of each target.
func (f *fixture) restart() {
	f.restarts++
	for _, target := range f.targets {
		e := target.Entry("p", 4, nil)
		e.StartedAt = e.StartedAt.Add(time.Duration(f.restarts) * time.Second)
		f.directory.Apply(e)
	}
}

// TestCrashingContentIsRefused guards against a request that crashes each target being
// sent on under new ids.
func TestCrashingContentIsRefused(t *testing.T) {
	broken := behaviour{Events: 5, BreakAfter: 2}
	for _, tc := range []struct {
		name string
		kind sillcatalog.Kind
		plan behaviour
	}{
		{"plain", sillcatalog.Idempotent, crashing},
		{"at most once", sillcatalog.AtMostOnce, crashing},
		{"stream", sillcatalog.Stream, broken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, tc.plan, tc.plan, tc.plan, tc.plan, tc.plan)
			for range 10 {
				_ = f.send(t, route(tc.kind, 1), "crash", false)
				f.restart()
			}
			if n := f.calls(); n != 3 {
				t.Errorf("the request was sent %d times, want 3", n)
			}
			checkRefusal(t, f.send(t, route(tc.kind, 1), "crash", false), CrashSuspect, true)
			_ = f.send(t, route(tc.kind, 1), "another", false)
			if n := f.calls(); n != 4 {
				t.Errorf("another request was not sent")
			}
		})
	}
}

// TestContentIsThatOfOneHost guards against a sound request being refused because an equal one
// to another host, which other targets serve, crashes them.
func TestContentIsThatOfOneHost(t *testing.T) {
	content := func(routeHost, host string) sillcrash.Fingerprint {
		return (&Request{
			Organisation: "org", Method: http.MethodPost, RequestURI: "/x", Host: host, Route: &sillcatalog.Route{Host: routeHost},
		}).content()
	}
	if content("a.example", "a.example") == content("b.example", "b.example") {
		t.Error("requests to two hosts have one content")
	}
	if content("a.example", "a.example") != content("a.example", "a.example:80") {
		t.Error("equal requests have two contents")
	}
}

func TestOwedRequestIsNotRefused(t *testing.T) {
	f := newFixture(t, crashing, crashing, crashing, crashing, crashing)
	for range 10 {
		checkRefusal(t, f.send(t, route(sillcatalog.Idempotent, 1), "owed", true), ResponseLost, false)
		f.restart()
	}
	if n := f.calls(); n != 10 {
		t.Errorf("the request was sent %d times, want 10", n)
	}
}

func TestServedContentIsNoSuspect(t *testing.T) {
	f := newFixture(t, crashing, crashing, behaviour{})
	for range 5 {
		if err := f.send(t, route(sillcatalog.Idempotent, 3), "sound", false); err != nil {
			t.Fatal(err)
		}
		f.restart()
	}
}

// TestBytesThatAreNoResponseAreNoCrash uses a target that does not speak the protocol.
func TestBytesThatAreNoResponseAreNoCrash(t *testing.T) {
	f := newFixture(t)
	address := startRaw(t, "no response\r\n\r\n")
	for n := range 5 {
		f.directory.Apply(silltarget.Entry{ID: "a", Pool: "p", Address: address, State: silltarget.Ready, Slots: 1, StartedAt: time.UnixMilli(int64(n))})
		checkRefusal(t, f.send(t, route(sillcatalog.Idempotent, 1), "sound", false), ResponseLost, false)
	}
}

// TestSilentCrashes uses targets that stop responding: three requests of a content time
// out, each at another run.
func TestSilentCrashes(t *testing.T) {
	silent := behaviour{NoResponse: true}
	for _, tc := range []struct {
		name  string
		after func(f *fixture)
		want  Reason
	}{
		{"targets start again", (*fixture).restart, CrashSuspect},
		{"targets leave the registry", func(f *fixture) {
			for _, target := range f.targets {
				f.directory.Remove(target.ID)
			}
			f.forwarder.ResolveSilentTargets(time.Now())
			f.restart()
		}, CrashSuspect},
		{"targets drain and leave", func(f *fixture) {
			for _, target := range f.targets {
				e, _ := f.directory.Entry(target.ID)
				e.State = silltarget.Draining
				f.directory.Apply(e)
			}
			f.forwarder.ResolveSilentTargets(time.Now())
			f.restart()
		}, TimedOut},
		{"targets are only slow", func(*fixture) {}, TimedOut},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, silent, silent, silent)
			f.restart()
			r := route(sillcatalog.AtMostOnce, 1)
			for range 3 {
				_, err := f.do(t.Context(), r, 30*time.Millisecond)
				checkRefusal(t, err, TimedOut, false)
				tc.after(f)
				f.forwarder.ResolveSilentTargets(time.Now())
			}
			_, err := f.do(t.Context(), r, 30*time.Millisecond)
			checkRefusal(t, err, tc.want, tc.want == CrashSuspect)
		})
	}
}

// TestCrashAfterTheTimeout crashes targets after the attempt of the culprit has timed
// out: another request finds out.
func TestCrashAfterTheTimeout(t *testing.T) {
	culprit, sound := sillcrash.Fingerprint{1}, sillcrash.Fingerprint{2}
	for name, outcome := range map[string]silltarget.Outcome{
		"another attempt breaks": silltarget.Broken, "the target is unreachable": silltarget.Unreachable,
	} {
		t.Run(name, func(t *testing.T) {
			tracker := sillcrash.NewSharedTracker(time.Now)
			m := newCrashMonitor(tracker)
			m.end(m.start(silltarget.Grant{ID: "first"}, culprit), silltarget.Broken)
			for _, id := range []sillid.TargetID{"a", "b", "c"} {
				g := silltarget.Grant{ID: id}
				m.end(m.start(g, culprit), silltarget.TimedOut)
				m.end(m.start(g, sound), outcome)
			}
			if tracker.Check(culprit) == nil || tracker.Check(sound) != nil {
				t.Errorf("culprit: %v, bystander: %v; want only the culprit refused", tracker.Check(culprit), tracker.Check(sound))
			}
		})
	}
}

// TestBystandersAreSpared breaks the attempts of a sound request together with those of
// a likelier cause, in either order.
func TestBystandersAreSpared(t *testing.T) {
	culprit, sound := sillcrash.Fingerprint{1}, sillcrash.Fingerprint{2}
	for name, culpritFirst := range map[string]bool{"culprit breaks first": true, "bystander breaks first": false} {
		t.Run(name, func(t *testing.T) {
			tracker := sillcrash.NewSharedTracker(time.Now)
			m := newCrashMonitor(tracker)
			m.end(m.start(silltarget.Grant{ID: "first"}, culprit), silltarget.Broken)
			for _, id := range []sillid.TargetID{"a", "b", "c", "d"} {
				g := silltarget.Grant{ID: id}
				first, second := m.start(g, culprit), m.start(g, sound)
				if !culpritFirst {
					first, second = second, first
				}
				m.end(first, silltarget.Broken)
				m.end(second, silltarget.Broken)
			}
			if tracker.Check(culprit) == nil || tracker.Check(sound) != nil {
				t.Errorf("culprit: %v, bystander: %v; want only the culprit refused", tracker.Check(culprit), tracker.Check(sound))
			}
		})
	}
}

// TestFailureClearsNoEvidence guards against a request that crashes its targets being sent on
// because a target fails it instead, now and then.
func TestFailureClearsNoEvidence(t *testing.T) {
	for _, tc := range []struct {
		status int
		signed bool
		want   Reason
	}{
		{http.StatusInternalServerError, true, CrashSuspect},
		{http.StatusGatewayTimeout, true, CrashSuspect},
		{http.StatusTooManyRequests, true, CrashSuspect},
		{http.StatusNotFound, false, CrashSuspect},
		{http.StatusNotFound, true, ResponseLost},
	} {
		t.Run(fmt.Sprint(tc.status, " signed ", tc.signed), func(t *testing.T) {
			f := newFixture(t)
			var plan atomic.Pointer[behaviour]
			target := sillstandtarget.Start("a", func(sillstandtarget.Call, int) behaviour { return *plan.Load() })
			t.Cleanup(target.Close)
			f.targets = append(f.targets, target)
			r := route(sillcatalog.Idempotent, 1)
			for range 3 {
				f.restart()
				plan.Store(&crashing)
				checkRefusal(t, f.send(t, r, "crash", false), ResponseLost, false)
				plan.Store(&behaviour{Status: tc.status, Unsigned: !tc.signed})
				_ = f.send(t, r, "crash", false)
			}
			plan.Store(&crashing)
			f.restart()
			checkRefusal(t, f.send(t, r, "crash", false), tc.want, tc.want == CrashSuspect)
		})
	}
}

// TestClearedEvidenceIsPassedOn guards against sound requests being refused because the other
// gateways hear of crashes sooner than of the answers that clear them.
func TestClearedEvidenceIsPassedOn(t *testing.T) {
	f := newFixture(t, crashing, behaviour{})
	passedOn := 0
	f.forwarder.cfg.OnEvidence = func(bool) { passedOn++ }
	if err := f.send(t, route(sillcatalog.Idempotent, 2), "sound", false); err != nil {
		t.Fatal(err)
	}
	if passedOn != 2 {
		t.Errorf("evidence was passed on %d times, want once for the crash and once for the answer", passedOn)
	}
}
