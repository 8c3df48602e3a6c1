package silldirectgateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// ErrStopping is the cause of the end of a context that ended because the process ends.
var ErrStopping = errors.New("the gateway stops: send the request to another one")

// answerMargin is the time before requests are cut in which those that are still at targets
// are answered.
const answerMargin = 300 * time.Millisecond

// stopTime tells requests by when they must be answered. It is safe for concurrent use.
type stopTime struct {
	by       atomic.Pointer[time.Time]
	overdue  context.Context
	setLimit context.CancelCauseFunc
}

func newStopTime() *stopTime {
	s := &stopTime{}
	s.overdue, s.setLimit = context.WithCancelCause(context.Background())
	return s
}

// begin starts the stop of a process that cuts requests at a time.
func (s *stopTime) begin(cutAt time.Time) {
	by := cutAt.Add(-answerMargin)
	s.by.Store(&by)
	time.AfterFunc(time.Until(by), func() { s.setLimit(ErrStopping) })
}

// AnswerBy returns the time by which requests must be answered, since the process ends then;
// false if it is not stopping.
func (s *Service) AnswerBy() (time.Time, bool) {
	by := s.stopTime.by.Load()
	if by == nil {
		return time.Time{}, false
	}
	return *by, true
}

// AnswerContext returns a context that ends with ctx, or with the cause ErrStopping once
// requests must be answered because the process ends. The caller calls cancel.
func (s *Service) AnswerContext(ctx context.Context) (_ context.Context, cancel func()) {
	ctx, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.stopTime.overdue, func() { end(ErrStopping) })
	return ctx, func() {
		stop()
		end(nil)
	}
}
