package silllog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// stuck is a writer that blocks until it is released.
type stuck struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

func TestQueueNeverWaits(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	q := newQueue(out, 4)
	for range 100 {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if q.Dropped() < 90 {
		t.Errorf("%d lines dropped behind a stuck reader, want 90 or more", q.Dropped())
	}
	close(out.release)
	q.Close()
	got := out.written.String()
	if n := strings.Count(got, "line\n"); int64(n)+q.Dropped() != 100 {
		t.Errorf("%d lines written and %d dropped of 100", n, q.Dropped())
	}
	if !strings.Contains(got, "Dropped lines") {
		t.Error("the log does not tell of its dropped lines")
	}
}

func TestQueueKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	q := newQueue(&out, 100)
	for _, line := range []string{"a", "b", "c", "d"} {
		if _, err := q.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	q.Close()
	if out.String() != "abcd" {
		t.Errorf("wrote %q", out.String())
	}
}

func TestErrIsOneLine(t *testing.T) {
	f := Err(eris.Wrap(errors.New("cause"), "step"))
	if f.String != "step: cause" {
		t.Errorf("field %q", f.String)
	}
	if f := Err(errors.Join(errors.New("one"), errors.New("two"))); f.String != "one; two" {
		t.Errorf("field %q of two errors", f.String)
	}
}

func TestLevel(t *testing.T) {
	if _, err := New("loud"); err == nil {
		t.Error("an unknown level is taken")
	}
}

// logMany writes lines of one message, 1,000 a second for three seconds, and
// returns the log.
func logMany(t *testing.T, write func(*zap.Logger)) (written string, q *Queue) {
	t.Helper()
	var out bytes.Buffer
	synctest.Test(t, func(*testing.T) {
		q = newQueue(&out, queueLines)
		log := zap.New(boundedCore(q, zapcore.InfoLevel))
		for range 3000 {
			write(log)
			time.Sleep(time.Millisecond)
		}
		q.Close()
	})
	return out.String(), q
}

func TestVolume(t *testing.T) {
	t.Run("lines of what goes well are thinned out and counted", func(t *testing.T) {
		log, q := logMany(t, func(l *zap.Logger) { l.Info("Served.") })
		n := strings.Count(log, `"message":"Served."`)
		if n < 600 || n > 800 {
			t.Errorf("%d lines written, want the first 200 of each second and each 50th", n)
		}
		if q.LeftOut() != int64(3000-n) {
			t.Errorf("%d left out by the count, %d by the log", q.LeftOut(), 3000-n)
		}
		if !strings.Contains(log, `"message":"Left lines out.","alike":"Served.","lines":`+fmt.Sprint(3000-n)) {
			t.Error("the log does not tell how many lines it left out")
		}
	})
	t.Run("failures are complete", func(t *testing.T) {
		log, q := logMany(t, func(l *zap.Logger) { l.Warn("Failed.") })
		if n := strings.Count(log, `"message":"Failed."`); n != 3000 || q.LeftOut() != 0 {
			t.Errorf("%d of 3000 lines written, %d left out", n, q.LeftOut())
		}
	})
}
