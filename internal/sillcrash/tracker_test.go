package sillcrash

import (
	"fmt"
	"math"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillproperty"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	os.Exit(sillproperty.Run(m, sillproperty.Config{}))
}

func fingerprint(name string) Fingerprint {
	return NewFingerprint("o", "POST", "/", []byte(name))
}

// crash records that target n crashed at second n while it ran requests that
// started just before.
func crash(t *Tracker, n int, names ...string) {
	at := epoch.Add(time.Duration(n) * time.Second)
	var running []RunningRequest
	for _, name := range names {
		running = append(running, RunningRequest{Fingerprint: fingerprint(name), Started: at.Add(-time.Second / 2)})
	}
	t.RecordCrash(at, sillid.TargetID(fmt.Sprint("t", n)), "r", running)
}

func checkRefused(t *testing.T, tracker *Tracker, now time.Time, name string, want bool) {
	t.Helper()
	p := tracker.Check(now, fingerprint(name))
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

func TestRefusalPeriodAllowsOneMoreRun(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 {
		crash(tracker, n+1, "culprit")
	}
	later := epoch.Add(2*time.Second + refusePeriod + time.Second)
	checkRefused(t, tracker, later, "culprit", false)
	crash(tracker, int(later.Sub(epoch)/time.Second)+1, "culprit")
	checkRefused(t, tracker, later.Add(5*time.Second), "culprit", true)
	checkRefused(t, tracker, later.Add(2*crashExpiry), "culprit", false)
}

func TestUncountedCrashes(t *testing.T) {
	t.Run("zone failure with equal requests", func(t *testing.T) {
		tracker := NewTracker()
		for n := range 10 {
			started := RunningRequest{Fingerprint: fingerprint("popular"), Started: epoch}
			at := epoch.Add(time.Duration(1+n) * time.Second)
			tracker.RecordCrash(at, sillid.TargetID(fmt.Sprint("t", n)), "r", []RunningRequest{started})
		}
		checkRefused(t, tracker, soon, "popular", false)
	})
	t.Run("success in between", func(t *testing.T) {
		tracker := NewTracker()
		crash(tracker, 1, "a")
		crash(tracker, 2, "a")
		tracker.RecordSuccess(epoch.Add(2*time.Second), fingerprint("a"))
		crash(tracker, 3, "a")
		checkRefused(t, tracker, soon, "a", false)
	})
	t.Run("one faulty target, under several requests", func(t *testing.T) {
		tracker := NewTracker()
		for n := range 6 {
			at := epoch.Add(time.Duration(n) * time.Second)
			r := RunningRequest{Fingerprint: fingerprint(fmt.Sprint(n)), Started: at.Add(-time.Millisecond)}
			tracker.RecordCrash(at, "faulty", fmt.Sprint(n), []RunningRequest{r})
		}
		for n := range 6 {
			checkRefused(t, tracker, soon, fmt.Sprint(n), false)
		}
	})
	t.Run("one faulty target, served by others in between", func(t *testing.T) {
		tracker := NewTracker()
		for n := range 6 {
			at := epoch.Add(time.Duration(n) * time.Second)
			r := RunningRequest{Fingerprint: fingerprint("a"), Started: at.Add(-time.Millisecond)}
			tracker.RecordCrash(at, "faulty", fmt.Sprint(n), []RunningRequest{r})
			checkRefused(t, tracker, at, "a", false)
			tracker.RecordSuccess(at.Add(time.Millisecond), fingerprint("a"))
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

// TestCrashesBesideLikelierCausesAddUp guards against a request that is never refused
// because another one with a higher score runs at each target that it crashes.
func TestCrashesBesideLikelierCausesAddUp(t *testing.T) {
	const crashes = 6
	for _, alone := range []int{2, 3} {
		t.Run(fmt.Sprint(alone, " crashes of the other one alone"), func(t *testing.T) {
			tracker := NewTracker()
			second := 0
			for n := range crashes {
				other := fmt.Sprint("other", n)
				for range alone {
					second++
					crash(tracker, second, other)
				}
				second++
				crash(tracker, second, "culprit", other)
			}
			checkRefused(t, tracker, soon, "culprit", true)
		})
	}
}

// crashAfter records that target n crashed at a time while it ran a request for a duration.
func crashAfter(t *Tracker, n int, at time.Time, ran time.Duration, name string) {
	running := []RunningRequest{{Fingerprint: fingerprint(name), Started: at.Add(-ran)}}
	t.RecordCrash(at, sillid.TargetID(fmt.Sprint("t", n)), "r", running)
}

// TestAttemptAtTheTimeOfTheCrashCounts guards against a request that is refused late because
// its next attempt starts at the very time, by a coarse clock, at which the last target crashed.
func TestAttemptAtTheTimeOfTheCrashCounts(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 {
		checkRefused(t, tracker, soon, "a", false)
		crashAfter(tracker, n, epoch.Add(time.Duration(n)*time.Second), time.Second, "a")
	}
	checkRefused(t, tracker, soon, "a", true)
}

// TestOverlappingCrashesDoNotPushCountedOnesOut guards against a request that is never
// refused because it crashes many targets at once, of whose crashes few are kept.
func TestOverlappingCrashesDoNotPushCountedOnesOut(t *testing.T) {
	const every, ran, duration = 100 * time.Millisecond, time.Second, 5 * time.Second
	tracker := NewTracker()
	for n := range int(duration / every) {
		crashAfter(tracker, n, epoch.Add(time.Duration(n)*every), ran, "a")
	}
	checkRefused(t, tracker, epoch.Add(duration), "a", true)
}

// TestOverlapTakesTheHeavierCrash guards against a request that is refused late because a
// crash beside a likelier cause hides one of its own.
func TestOverlapTakesTheHeavierCrash(t *testing.T) {
	tracker := NewTracker()
	for n := range 4 {
		other := fmt.Sprint("other", n)
		at := epoch.Add(time.Duration(10*n) * time.Second)
		for range 3 {
			at = at.Add(time.Second)
			crashAfter(tracker, int(at.Sub(epoch)/time.Second), at, time.Second, other)
		}
		running := []RunningRequest{{Fingerprint: fingerprint("a"), Started: at}, {Fingerprint: fingerprint(other), Started: at}}
		tracker.RecordCrash(at.Add(time.Second), sillid.TargetID("beside"+other), "r", running)
		crashAfter(tracker, 100+n, at.Add(1500*time.Millisecond), time.Second, "a")
	}
	checkRefused(t, tracker, soon, "a", true)
}

// TestCrashesOfOneTarget guards against a request that is never refused because its pool
// has a single target, which crashes and starts again.
func TestCrashesOfOneTarget(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 {
		checkRefused(t, tracker, soon, "a", false)
		at := epoch.Add(time.Duration(n) * time.Second)
		r := RunningRequest{Fingerprint: fingerprint("a"), Started: at.Add(-time.Millisecond)}
		tracker.RecordCrash(at, "only", fmt.Sprint(n), []RunningRequest{r})
	}
	checkRefused(t, tracker, soon, "a", true)
}

// TestEncodedEvidence shares crashes that follow each other within a second.
func TestEncodedEvidence(t *testing.T) {
	tracker, other := NewTracker(), NewTracker()
	for n := range 3 {
		at := epoch.Add(time.Duration(n) * 100 * time.Millisecond)
		r := RunningRequest{Fingerprint: fingerprint("a"), Started: at.Add(-time.Millisecond)}
		tracker.RecordCrash(at, sillid.TargetID(fmt.Sprint(n)), "r", []RunningRequest{r})
	}
	b, err := Encode(tracker.Export(soon, 10))
	if err != nil {
		t.Fatal(err)
	}
	evidence, err := Decode(b)
	if err != nil {
		t.Fatal(err)
	}
	other.Merge(soon, evidence)
	checkRefused(t, other, soon, "a", true)
	if _, err := Decode([]byte("no evidence")); err == nil {
		t.Error("bytes that are no evidence are accepted")
	}
}

func TestForeignEvidenceIsChecked(t *testing.T) {
	for name, c := range map[string]Crash{
		"weight above 1": {Weight: 1.5}, "no weight": {}, "weight that is no number": {Weight: math.NaN()},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := Encode([]Evidence{{Crashes: []Crash{c}}})
			if err != nil {
				t.Fatal(err)
			}
			if evidence, err := Decode(b); err == nil {
				t.Errorf("decoded %v", evidence)
			}
		})
	}
	t.Run("from the future", func(t *testing.T) {
		ahead, tracker := NewTracker(), NewTracker()
		for n := range 3 {
			crash(ahead, 3600+n, "a")
		}
		tracker.Merge(epoch, ahead.Export(soon, 10))
		checkRefused(t, tracker, epoch.Add(time.Hour+time.Minute), "a", false)
	})
}

// FuzzDecode merges what can be decoded: it must not panic, and must not grow beyond the
// bounds.
func FuzzDecode(f *testing.F) {
	tracker := NewTracker()
	crash(tracker, 1, "a", "b")
	seed, err := Encode(tracker.Export(soon, 10))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{0x80})
	f.Fuzz(func(t *testing.T, b []byte) {
		evidence, err := Decode(b)
		if err != nil {
			return
		}
		tracker := NewTracker()
		tracker.Merge(soon, evidence)
		for _, e := range tracker.Export(soon, maxRequests) {
			if len(e.Crashes) > maxCrashes || tracker.score(soon, e.Fingerprint) > maxCrashes {
				t.Errorf("%d crashes kept", len(e.Crashes))
			}
		}
	})
}

func TestExportRecent(t *testing.T) {
	tracker := NewTracker()
	for n := range 3 {
		crash(tracker, n+1, "refused")
	}
	crash(tracker, 4, "old")
	crash(tracker, 59, "new")
	var names []string
	for _, e := range tracker.ExportRecent(soon, 10) {
		for _, name := range []string{"refused", "old", "new"} {
			if e.Fingerprint == fingerprint(name) {
				names = append(names, name)
			}
		}
	}
	if !slices.Equal(names, []string{"refused", "new"}) {
		t.Errorf("evidence on %v, want that on the refused and the new request", names)
	}
}

// TestEvidenceOfARequestAboutToBeRefusedIsKept guards against a request that crashes its targets
// being counted anew because all processes started again before the last crash.
func TestEvidenceOfARequestAboutToBeRefusedIsKept(t *testing.T) {
	tracker, started := NewTracker(), NewTracker()
	crash(tracker, 1, "a")
	crash(tracker, 2, "a")
	started.Merge(soon, tracker.ExportRecent(soon, 10))
	crash(started, 61, "a")
	checkRefused(t, started, soon.Add(time.Second), "a", true)
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
				tracker.RecordSuccess(epoch.Add(time.Duration(n)*time.Second), fingerprint(name))
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
			if l, r := left.score(soon, fingerprint(name)), right.score(soon, fingerprint(name)); l != r {
				t.Fatalf("score of %s is %v or %v, depending on the order", name, l, r)
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
