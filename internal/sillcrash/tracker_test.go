package sillcrash

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

func mark(name string) Fingerprint {
	return NewFingerprint("o", "POST", "/", []byte(name))
}

// crash lets target n die at second n, with requests that started just before.
func crash(t *Tracker, n int, names ...string) {
	at := epoch.Add(time.Duration(n) * time.Second)
	var running []RunningRequest
	for _, name := range names {
		running = append(running, RunningRequest{Fingerprint: mark(name), Started: at.Add(-time.Second / 2)})
	}
	t.RecordCrash(at, sillid.TargetID(fmt.Sprint("t", n)), "r", running)
}

func checkRefused(t *testing.T, tracker *Tracker, now time.Time, name string, want bool) {
	t.Helper()
	p := tracker.Check(now, mark(name))
	if (p != nil) != want {
		t.Errorf("Check(%s) = %v, want refused = %v", name, p, want)
	}
	if p != nil && (p.Kind != sillproblem.CrashSuspect || p.RetryAfter <= 0) {
		t.Errorf("Check(%s) = %s with Retry-After %v", name, p.Kind, p.RetryAfter)
	}
}

var soon = epoch.Add(time.Minute)

func TestCrashingRequestIsRefused(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 {
		checkRefused(t, tracker, soon, "culprit", false)
		crash(tracker, n+1, "culprit", fmt.Sprint("other", n))
	}
	checkRefused(t, tracker, soon, "culprit", true)
	for n := range 3 {
		checkRefused(t, tracker, soon, fmt.Sprint("other", n), false)
	}
}

func TestRefusalEndsWithOneMoreTry(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 {
		crash(tracker, n+1, "culprit")
	}
	later := epoch.Add(2*time.Second + refuseFor + time.Second)
	checkRefused(t, tracker, later, "culprit", false)
	crash(tracker, int(later.Sub(epoch)/time.Second)+1, "culprit")
	checkRefused(t, tracker, later.Add(5*time.Second), "culprit", true)
	checkRefused(t, tracker, later.Add(2*forgetAfter), "culprit", false)
}

func TestWhatDoesNotCount(t *testing.T) {
	t.Run("zone cut under equal requests", func(t *testing.T) {
		tracker := NewTracker()
		for n := range 10 {
			started := RunningRequest{Fingerprint: mark("popular"), Started: epoch}
			at := epoch.Add(time.Duration(1+n) * time.Second)
			tracker.RecordCrash(at, sillid.TargetID(fmt.Sprint("t", n)), "r", []RunningRequest{started})
		}
		checkRefused(t, tracker, soon, "popular", false)
	})
	t.Run("success in between", func(t *testing.T) {
		tracker := NewTracker()
		crash(tracker, 1, "a")
		crash(tracker, 2, "a")
		tracker.RecordSuccess(epoch.Add(2*time.Second), mark("a"))
		crash(tracker, 3, "a")
		checkRefused(t, tracker, soon, "a", false)
	})
	t.Run("one ill target", func(t *testing.T) {
		tracker := NewTracker()
		for n := range 6 {
			at := epoch.Add(time.Duration(n) * time.Second)
			r := RunningRequest{Fingerprint: mark("a"), Started: at.Add(-time.Millisecond)}
			tracker.RecordCrash(at, "ill", fmt.Sprint(n), []RunningRequest{r})
		}
		checkRefused(t, tracker, soon, "a", false)
	})
	t.Run("bystander of a likelier cause", func(t *testing.T) {
		tracker := NewTracker()
		crash(tracker, 1, "culprit")
		for n := 2; n <= 4; n++ {
			crash(tracker, n, "culprit", "bystander")
		}
		checkRefused(t, tracker, soon, "culprit", true)
		checkRefused(t, tracker, soon, "bystander", false)
	})
}

func TestMergeSharesEvidence(t *testing.T) {
	trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
	for n, tracker := range trackers {
		crash(tracker, n+1, "culprit")
	}
	for _, tracker := range trackers[1:] {
		trackers[0].Merge(soon, tracker.Export(soon, 10))
		trackers[0].Merge(soon, tracker.Export(soon, 10))
	}
	checkRefused(t, trackers[0], soon, "culprit", true)
	checkRefused(t, trackers[1], soon, "culprit", false)
}

// Merging is idempotent and does not depend on the order.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trackers := []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		names := []string{"a", "b", "c", "d"}
		for n := range rapid.IntRange(0, 7).Draw(t, "events") {
			tracker := trackers[rapid.IntRange(0, 2).Draw(t, "tracker")]
			name := rapid.SampledFrom(names).Draw(t, "name")
			if rapid.IntRange(0, 3).Draw(t, "success") == 0 {
				tracker.RecordSuccess(epoch.Add(time.Duration(n)*time.Second), mark(name))
				continue
			}
			crash(tracker, n+1, name)
		}
		left, right := NewTracker(), NewTracker()
		for i := range trackers {
			left.Merge(soon, trackers[i].Export(soon, 10))
			left.Merge(soon, trackers[i].Export(soon, 10))
			right.Merge(soon, trackers[len(trackers)-1-i].Export(soon, 10))
		}
		for _, name := range names {
			if l, r := left.blame(soon, mark(name)), right.blame(soon, mark(name)); l != r {
				t.Fatalf("blame of %s is %v or %v, depending on the order", name, l, r)
			}
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 {
		crash(tracker, n+1, "culprit")
	}
	for n := range 2 * maxRequests {
		crash(tracker, 10, fmt.Sprint(n))
	}
	if got := len(tracker.requests); got > maxRequests {
		t.Errorf("%d requests kept, want at most %d", got, maxRequests)
	}
	checkRefused(t, tracker, soon, "culprit", true)
}
