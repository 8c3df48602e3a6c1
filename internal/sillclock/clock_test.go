package sillclock

import (
	"testing"
	"time"
)

func TestBootNeverStepsBack(t *testing.T) {
	last := Boot()
	for range 1000 {
		now := Boot()
		if now.Before(last) {
			t.Fatalf("the clock stepped back by %v", last.Sub(now))
		}
		last = now
	}
}

func TestBootHasNoMonotonicReading(t *testing.T) {
	if now := Boot(); now != now.Round(0) {
		t.Errorf("%v has a monotonic reading", now)
	}
	if Boot().Sub(time.Unix(0, 0)) <= 0 {
		t.Error("the clock is not running")
	}
}
