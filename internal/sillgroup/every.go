package sillgroup

import (
	"context"
	"time"
)

// Every calls f each time that an interval has passed, until ctx ends. Calls do
// not overlap: a tick that falls into a call that takes long is skipped.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// A tick may be older than a pause of the process.
			f(time.Now())
		}
	}
}
