package sillforwarder

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxResponseBytes bounds the body of a response that is buffered before it is
	// passed on.
	maxResponseBytes = 16 << 20
	// maxRejectionBytes bounds what is read of the body of a rejection.
	maxRejectionBytes = 64 << 10
	// freeBodyBytes is the part of a body that the shared buffer does not count.
	freeBodyBytes = 64 << 10
	// trustedBytes is what is allocated for an announced length after the first part.
	trustedBytes = 4 << 20
	// firstBodyBytes is the first allocation for a body of unknown length.
	firstBodyBytes = 2 << 10
	// defaultBufferBytes is the size of the shared buffer if none is configured.
	defaultBufferBytes = 64 << 20
)

var (
	errResponseTooLong = errors.New("the response is longer than a gateway buffers")
	errBufferFull      = errors.New("other responses take the memory for long responses")
)

// bodyBuffer bounds the memory of the bodies that are being read. It is safe for
// concurrent use.
type bodyBuffer struct {
	// free is the number of bytes that long bodies may still take.
	free atomic.Int64
}

func newBodyBuffer(size int64) *bodyBuffer {
	if size == 0 {
		size = defaultBufferBytes
	}
	b := &bodyBuffer{}
	b.free.Store(size)
	return b
}

// take takes a number of bytes, and returns false if there are not enough.
func (b *bodyBuffer) take(n int64) bool {
	if b.free.Add(-n) < 0 {
		b.free.Add(n)
		return false
	}
	return true
}

// read reads the body of a response whose announced length is -1 if unknown. Errors: errResponseTooLong, errBufferFull and those
// of the connection.
func (b *bodyBuffer) read(r io.Reader, length int64) ([]byte, error) {
	taken := int64(0)
	defer func() { b.free.Add(taken) }()
	return readBody(r, length, func(n int64) bool {
		if !b.take(n) {
			return false
		}
		taken += n
		return true
	})
}

// readBody is read with a function that takes memory for a number of bytes.
func readBody(r io.Reader, length int64, take func(int64) bool) ([]byte, error) {
	capacity := int64(firstBodyBytes)
	if length >= firstBodyBytes {
		// One more byte lets the last read find the end.
		capacity = min(length+1, freeBodyBytes)
	}
	taken := int64(0)
	var body []byte
	for {
		if needed := max(0, capacity-freeBodyBytes) - taken; needed > 0 {
			if !take(needed) {
				return nil, errBufferFull
			}
			taken += needed
		}
		body = append(make([]byte, 0, capacity), body...)
		switch err := fill(&body, r); {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) > maxResponseBytes:
			return nil, errResponseTooLong
		}
		capacity = min(max(2*capacity, min(length+1, trustedBytes)), maxResponseBytes+1)
	}
}

// fill reads into the free capacity of a body until it is full or the read fails.
func fill(body *[]byte, r io.Reader) error {
	for len(*body) < cap(*body) {
		n, err := r.Read((*body)[len(*body):cap(*body)])
		*body = (*body)[:len(*body)+n]
		if err != nil {
			return err
		}
	}
	return nil
}
