package silllog

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
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
}

func TestLevel(t *testing.T) {
	if _, err := New("loud"); err == nil {
		t.Error("an unknown level is taken")
	}
}
