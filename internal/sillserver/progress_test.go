package sillserver

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
)

// slowReader brings a number of bytes every half second.
type slowReader int

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Second / 2)
	return min(int(r), len(p)), nil
}

// TestSlowSendersProgress guards against a client on a slow link whose connection is closed for
// a larger request, since it takes seconds for a step, and against clients that drip bytes and
// count as making progress.
func TestSlowSendersProgress(t *testing.T) {
	for _, c := range []struct {
		name        string
		bytes       int
		wantEvicted bool
	}{{"least rate", DefaultBodyRate / 2, false}, {"drip", 100, true}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := sillbudget.New(64*sillbudget.Step, nil)
				var evicted atomic.Bool
				slow, large := budget.Open(func() { evicted.Store(true) }), budget.Open(func() {})
				if !slow.Take(10*sillbudget.Step, 0) || !large.Take(30*sillbudget.Step, 0) {
					t.Fatal("not taken")
				}
				r := &http.Request{Body: io.NopCloser(slowReader(c.bytes)), ContentLength: 1 << 20}
				body := newBody(&conn{}, slow, r)
				for range 6 {
					if _, err := body.Read(make([]byte, 8<<10)); err != nil {
						t.Fatal(err)
					}
				}
				large.Progress(time.Now())
				large.TryTake(time.Now(), 20*sillbudget.Step)
				if evicted.Load() != c.wantEvicted {
					t.Errorf("closed: %v, want %v", evicted.Load(), c.wantEvicted)
				}
			})
		})
	}
}
