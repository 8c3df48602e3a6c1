package silllog

import (
	"time"

	"go.uber.org/zap/zapcore"
)

// volume bounds the lines with one message: of those within a second the first
// are written, and then each n-th.
type volume struct {
	first int
	then  int
}

const volumeSpan = time.Second

var (
	// routine bounds lines below the level warn. A gateway serves some hundred
	// requests a second.
	routine = volume{first: 200, then: 50}
	// notable bounds failures, refusals and retries. An instance answers a few
	// thousand requests a second at most, so in practice these lines are complete.
	notable = volume{first: 4000, then: 50}
)

// boundedCore writes lines of at least the level to the queue, within the bounds
// of their kinds. What is left out is counted at the queue.
func boundedCore(queue *Queue, level zapcore.Level) zapcore.Core {
	isRoutine := levels(func(l zapcore.Level) bool { return l >= level && l < zapcore.WarnLevel })
	isNotable := levels(func(l zapcore.Level) bool { return l >= level && l >= zapcore.WarnLevel })
	return zapcore.NewTee(
		routine.core(zapcore.NewCore(newEncoder(), queue, isRoutine), queue),
		notable.core(zapcore.NewCore(newEncoder(), queue, isNotable), queue),
	)
}

// levels tells which levels a core writes.
type levels func(zapcore.Level) bool

// Enabled implements zapcore.LevelEnabler.
func (f levels) Enabled(l zapcore.Level) bool { return f(l) }

func (v volume) core(core zapcore.Core, queue *Queue) zapcore.Core {
	hook := zapcore.SamplerHook(func(e zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			queue.leaveOut(e.Message)
		}
	})
	return zapcore.NewSamplerWithOptions(core, volumeSpan, v.first, v.then, hook)
}
