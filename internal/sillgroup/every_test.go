package sillgroup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestEvery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 10500*time.Millisecond)
		defer cancel()
		start, calls := time.Now(), 0
		Every(ctx, time.Second, func(now time.Time) {
			calls++
			if calls == 1 && now.Sub(start) != time.Second {
				t.Errorf("first call after %v, want 1 s", now.Sub(start))
			}
			if calls == 3 {
				time.Sleep(2500 * time.Millisecond)
			}
		})
		if calls != 9 {
			t.Errorf("%d calls in 10.5 s of which one takes 2.5 s, want 9", calls)
		}
	})
}
