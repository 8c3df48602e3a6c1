package sillgroup

import (
	"context"
	"time"
)

// Loop handles the events of a channel and calls tick once per interval until ctx
// ends. The calls do not overlap, so that handle and tick may share state without a
// lock.
func Loop[E any](ctx context.Context, events <-chan E, interval time.Duration, handle func(E), tick func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-events:
			handle(e)
		case <-ticker.C:
			tick()
		}
	}
}

// Send sends an event to the goroutine that runs Loop. It drops the event if ctx ends
// before the goroutine receives it.
func Send[E any](ctx context.Context, events chan<- E, e E) {
	select {
	case events <- e:
	case <-ctx.Done():
	}
}
