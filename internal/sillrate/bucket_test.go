package sillrate

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillproperty"
	"github.com/wasabisill/wasabisill/internal/sillsoak"
)

func TestMain(m *testing.M) { os.Exit(sillproperty.Run(m, sillproperty.Config{})) }

var start = time.Unix(1000, 0)

func checkTake(t *testing.T, b *Bucket, at time.Duration, c Class, want bool) time.Duration {
	t.Helper()
	got, retryAfter := b.Take(start.Add(at), c)
	if got != want {
		t.Fatalf("after %v a request of class %d got a token: %t, want %t", at, c, got, want)
	}
	return retryAfter
}

// TestBucketStartsEmpty guards against a burst from each process that begins to grant.
func TestBucketStartsEmpty(t *testing.T) {
	b := NewBucket(start, 2)
	if retryAfter := checkTake(t, b, 0, Interactive, false); retryAfter != 500*time.Millisecond {
		t.Errorf("retry after %v, want 500ms", retryAfter)
	}
	checkTake(t, b, 500*time.Millisecond, Interactive, true)
	checkTake(t, b, 600*time.Millisecond, Interactive, false)
}

// TestBackgroundLeavesTokens checks that a caller's request gets a token while background
// requests wait.
func TestBackgroundLeavesTokens(t *testing.T) {
	b := NewBucket(start, 1)
	checkTake(t, b, 1500*time.Millisecond, Background, false)
	checkTake(t, b, 1500*time.Millisecond, Interactive, true)
	checkTake(t, b, 3400*time.Millisecond, Background, true)
	checkTake(t, b, 3400*time.Millisecond, Background, false)
	checkTake(t, b, 3400*time.Millisecond, Interactive, true)
}

// TestBucketRateChanges checks that a lower limit is kept at once.
func TestBucketRateChanges(t *testing.T) {
	b := NewBucket(start, 100)
	checkTake(t, b, time.Second, Interactive, true)
	b.SetRate(start.Add(time.Second), 1)
	checkTake(t, b, time.Second, Interactive, true)
	checkTake(t, b, time.Second, Interactive, true)
	checkTake(t, b, time.Second, Interactive, false)
	checkTake(t, b, 1400*time.Millisecond, Interactive, false)
}

// TestBucketKeepsTheLimit checks that no window of 4 s has more than one and a half times
// what the limit allows, and 5 requests.
func TestBucketKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := PerSecond(rapid.Float64Range(0.1, 500).Draw(t, "rate"))
		b := NewBucket(start, rate)
		now := start
		var taken []time.Time
		for range 2000 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			if ok, _ := b.Take(now, Class(rapid.IntRange(0, 1).Draw(t, "class"))); ok {
				taken = append(taken, now)
			}
		}
		bound := sillsoak.LimitBound{Window: 4 * time.Second}
		if n, allowed := bound.Most(taken, start), bound.Allowed(float64(rate)); n > allowed {
			t.Fatalf("%d requests in %v at %g a second; allowed %d", n, bound.Window, rate, allowed)
		}
	})
}
