// Package silllog makes the loggers of the processes. Every part of a process
// has a logger of its own name, which prefixes each of its lines.
package silllog

import (
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// queueLines is the number of lines that wait for a slow reader of the log;
// lines beyond it are dropped and counted.
const queueLines = 8192

// New returns a logger that writes JSON lines of at least the level to the
// standard error stream.
func New(level string) (*zap.Logger, error) {
	l, err := parseLevel(level)
	if err != nil {
		return nil, err
	}
	return zap.New(zapcore.NewCore(newEncoder(), zapcore.Lock(os.Stderr), l)), nil
}

// NewQueued returns a logger that writes JSON lines to out, commonly the standard
// output, and never waits for its reader. Close the queue at the end of the process.
func NewQueued(out io.Writer, level string) (*zap.Logger, *Queue, error) {
	l, err := parseLevel(level)
	if err != nil {
		return nil, nil, err
	}
	queue := newQueue(out, queueLines)
	return zap.New(boundedCore(queue, l)), queue, nil
}

func parseLevel(level string) (zapcore.Level, error) {
	l, err := zapcore.ParseLevel(level)
	return l, eris.Wrapf(err, "silllog: level %q; choose debug, info, warn or error", level)
}

func newEncoder() zapcore.Encoder {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.SecondsDurationEncoder
	cfg.TimeKey = "time"
	cfg.NameKey = "part"
	cfg.MessageKey = "message"
	cfg.CallerKey = zapcore.OmitKey
	cfg.StacktraceKey = zapcore.OmitKey
	return zapcore.NewJSONEncoder(cfg)
}

// Err returns the field of an error, as one line without its stack.
func Err(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", strings.ReplaceAll(err.Error(), "\n", "; "))
}
