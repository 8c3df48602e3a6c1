package sillserver

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// requestOf returns a request with a body that ends with an error, io.EOF or another one.
func requestOf(content []byte, announced bool, end error) *http.Request {
	r := &http.Request{Body: io.NopCloser(io.MultiReader(bytes.NewReader(content), &failing{end})), ContentLength: -1}
	if announced {
		r.ContentLength = int64(len(content))
	}
	return r
}

type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// TestReadBodyContent guards against bodies that get bytes of others, whose memory they reuse.
func TestReadBodyContent(t *testing.T) {
	const readers, rounds = 8, 30
	cut := errors.New("cut")
	group := sillgroup.New(context.Background())
	for i := range readers {
		group.Go(func(context.Context) {
			for j := range rounds {
				content := bytes.Repeat([]byte{byte(i), byte(j), 7}, 1+(i*rounds+j)*7919%(100<<10))
				read, err := ReadBody(nil, requestOf(content, j%2 == 0, io.EOF), 1<<20)
				if err != nil || !bytes.Equal(read, content) {
					t.Errorf("%d bytes of %d (%v), or others", len(read), len(content), err)
				}
				if read, err = ReadBody(nil, requestOf(content, false, cut), 1<<20); !errors.Is(err, cut) || read != nil {
					t.Errorf("a body that is cut: %d bytes, %v", len(read), err)
				}
			}
		})
	}
	group.Wait()
}

// TestReadBodyMemory guards against bodies that cost several times their size, complete or cut:
// the budget counts the size only.
func TestReadBodyMemory(t *testing.T) {
	const size, rounds = 4 << 20, 16
	// A collection would take the memory that is reused.
	defer debug.SetGCPercent(debug.SetGCPercent(-1))
	content := make([]byte, size)
	cut := errors.New("cut")
	// The race detector makes the pool lose a part of what is returned to it.
	for end, most := range map[error]float64{io.EOF: 1.6, cut: 0.6} {
		for _, announced := range []bool{true, false} {
			var before, after runtime.MemStats
			_, _ = ReadBody(nil, requestOf(content, announced, end), size)
			runtime.ReadMemStats(&before)
			for range rounds {
				_, _ = ReadBody(nil, requestOf(content, announced, end), size)
			}
			runtime.ReadMemStats(&after)
			if got := float64(after.TotalAlloc-before.TotalAlloc) / rounds / size; got > most {
				t.Errorf("%v, announced %t: %.2f times the size was allocated, want %.2f at most", end, announced, got, most)
			} else {
				t.Logf("%v, announced %t: %.2f times", end, announced, got)
			}
		}
	}
}
