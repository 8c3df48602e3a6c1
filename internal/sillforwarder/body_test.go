package sillforwarder

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
)

// endless is a body that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func TestBodies(t *testing.T) {
	for _, size := range []int{0, 1, firstBodyBytes, firstBodyBytes + 1, freeBodyBytes, 3 * freeBodyBytes, maxResponseBytes} {
		want := bytes.Repeat([]byte("x"), size)
		for _, length := range []int64{-1, int64(size)} {
			b := newBodyBuffer(0)
			got, err := b.read(bytes.NewReader(want), length)
			if err != nil || !bytes.Equal(got, want) {
				t.Errorf("length %d of %d: %d bytes, error %v", length, size, len(got), err)
			}
			checkAllFree(t, b, defaultBufferBytes)
		}
	}
	t.Run("broken off", func(t *testing.T) {
		broken := io.MultiReader(strings.NewReader("some"), iotest.ErrReader(io.ErrUnexpectedEOF))
		if _, err := newBodyBuffer(0).read(broken, 100); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("error %v", err)
		}
	})
	t.Run("a length without a body", func(t *testing.T) {
		got, err := newBodyBuffer(0).read(strings.NewReader(""), 1<<40)
		if err != nil || len(got) > 0 {
			t.Errorf("%d bytes, error %v", len(got), err)
		}
	})
}

func checkAllFree(t *testing.T, b *bodyBuffer, size int64) {
	t.Helper()
	if free := b.free.Load(); free != size {
		t.Errorf("%d bytes are free after all reads, want %d", free, size)
	}
}

// TestEndlessBodies guards against bodies without end, several at once, filling the
// memory of the gateway.
func TestEndlessBodies(t *testing.T) {
	const size, bodies = 8 << 20, 16
	b := newBodyBuffer(size)
	var readers sync.WaitGroup
	for range bodies {
		readers.Go(func() {
			if _, err := b.read(endless{}, -1); !errors.Is(err, errResponseTooLong) && !errors.Is(err, errBufferFull) {
				t.Errorf("error %v", err)
			}
		})
	}
	readers.Wait()
	checkAllFree(t, b, size)
	if _, err := b.read(bytes.NewReader(make([]byte, size/2)), -1); err != nil {
		t.Errorf("a long body after them: %v", err)
	}
}
