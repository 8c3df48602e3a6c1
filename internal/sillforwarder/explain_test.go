package sillforwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// explain returns what would become of a request with a time limit.
func (f *fixture) explain(r *sillcatalog.Route, limit time.Duration) Decision {
	now := time.Now()
	return f.forwarder.Explain(now, &Request{Route: r, Pool: "p", Arrived: now, Deadline: now.Add(limit)}, nil)
}

// TestExplainTakesNothing guards against explanations that take a slot or ask for a permit.
func TestExplainTakesNothing(t *testing.T) {
	f := newFixture(t, behaviour{}, behaviour{})
	p := f.limit(map[sillid.TargetID]sillpermit.Verdict{"a": {Granted: true}, "b": {Granted: true}})
	for range 20 {
		if d := f.explain(route(sillcatalog.Idempotent, 2), time.Second); d.Action != Send || d.Target != d.Candidates[0].ID {
			t.Fatalf("decision %+v, want the first candidate", d)
		}
	}
	if n := len(f.targets[0].Calls()) + len(f.targets[1].Calls()); n > 0 || len(p.asks) > 0 {
		t.Errorf("%d requests were sent and %v permits asked for", n, p.asks)
	}
	for _, c := range f.explain(route(sillcatalog.Idempotent, 2), time.Second).Candidates {
		if c.Running != 0 || c.Limit != 1 {
			t.Errorf("target %+v, want a limit of 1 and no request", c)
		}
	}
}

// TestExplainAgreesWithDo checks that a request is refused for the reason that was explained.
func TestExplainAgreesWithDo(t *testing.T) {
	r := route(sillcatalog.Idempotent, 2)
	t.Run("limits", func(t *testing.T) {
		f := newFixture(t, behaviour{}, behaviour{})
		f.limit(map[sillid.TargetID]sillpermit.Verdict{"a": {RetryAfter: time.Minute}, "b": {RetryAfter: time.Minute}})
		_, err := f.do(t.Context(), r, 2*time.Second)
		checkRefusal(t, err, RateLimited, true)
		expectRefusal(t, f.explain(r, 2*time.Second), RateLimited, silltarget.AtLimit)
	})
	t.Run("all leave", func(t *testing.T) {
		f := newFixture(t, behaviour{})
		e := f.targets[0].Entry("p", 4, nil)
		f.directory.ObserveNotice(time.Now(), e.Run(), silltarget.Leaving)
		_, err := f.do(t.Context(), r, 2*time.Second)
		checkRefusal(t, err, NoTarget, true)
		expectRefusal(t, f.explain(r, 2*time.Second), NoTarget, silltarget.NotReady)
	})
	t.Run("no time", func(t *testing.T) {
		f := newFixture(t, behaviour{})
		_, err := f.do(t.Context(), r, time.Millisecond)
		checkRefusal(t, err, TooLate, true)
		expectRefusal(t, f.explain(r, time.Millisecond), TooLate, silltarget.NotExcluded)
	})
	t.Run("content that crashes targets", func(t *testing.T) {
		f := newFixture(t, behaviour{})
		now := time.Now()
		req := &Request{
			Route: r, Pool: "p", Organisation: "org", Method: http.MethodPost, RequestURI: "/x", Body: []byte("crash"), Header: make(http.Header),
			Arrived: now, Deadline: now.Add(time.Second),
		}
		crashing, sound := req.content(), sillcrash.NewFingerprint("org", http.MethodPost, "/x", []byte("sound"))
		for i := range 3 {
			at := now.Add(time.Duration(i-3) * time.Second)
			f.forwarder.cfg.Suspects.RecordCrash(at, sillid.TargetID(rune('x'+i)), "run", []sillcrash.RunningRequest{{Fingerprint: crashing, Started: at}})
		}
		expectRefusal(t, f.forwarder.Explain(now, req, &crashing), CrashSuspect, silltarget.NotExcluded)
		for _, content := range []*sillcrash.Fingerprint{&sound, nil} {
			if d := f.forwarder.Explain(now, req, content); d.Action != Send {
				t.Errorf("decision %+v without evidence on the content", d)
			}
		}
		_, err := f.forwarder.Do(t.Context(), req)
		checkRefusal(t, err, CrashSuspect, true)
	})
	t.Run("waits for a backoff", func(t *testing.T) {
		f := newFixture(t, behaviour{})
		now := time.Now()
		g, _ := f.directory.Pick(now, silltarget.Query{Pool: "p"})
		f.directory.Release(now, g, silltarget.Unreachable)
		d := f.explain(r, 2*time.Second)
		if d.Action != Wait || d.MaxWait <= 0 || d.Candidates[0].Exclusion != silltarget.InBackoff || d.Candidates[0].Wait <= 0 {
			t.Errorf("decision %+v, want to wait for the end of the backoff", d)
		}
	})
}

func expectRefusal(t *testing.T, d Decision, want Reason, exclusion silltarget.Exclusion) {
	t.Helper()
	if d.Action != Refuse || d.Refusal.Reason != want || !d.Refusal.NotRun || d.Candidates[0].Exclusion != exclusion {
		t.Errorf("decision %+v with refusal %+v, want %q and targets that are %q", d, d.Refusal, want, exclusion)
	}
}
