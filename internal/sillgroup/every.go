package sillgroup

import (
	"context"
	"time"
)

// Every calls f with the current time once per interval until ctx ends. Calls do
// not overlap: if a call takes longer than the interval, ticks are dropped.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// The time in the tick may be outdated if the process was paused.
			f(time.Now())
		}
	}
}
