package sillserver

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
)

const (
	// firstBytes is the first allocation for a body of unknown length.
	firstBytes = 1 << 10
	// pieceBytes is what is allocated for an announced length before the bytes arrive, and
	// the size of the pieces in which a larger body is read.
	pieceBytes = sillbudget.Step
	// maxReused is how many pieces of a body are reused. The pool keeps pieces for two
	// collections; all those of a body of 32 MB would not fit beside it.
	maxReused = 64
)

// pieces holds pieces of bodies that were read. Reusing them keeps bodies that are refused or
// cut from leaving garbage: a busy process collected it too late for its memory.
var pieces = sync.Pool{New: func() any { return new([pieceBytes]byte) }}

// ReadBody reads a body of at most limit bytes. A larger one is not read to the limit if its
// length is announced. Errors: *http.MaxBytesError, ErrNoMemory and those of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if r.ContentLength == 0 || r.Body == nil {
		return []byte{}, nil
	}
	body := http.MaxBytesReader(w, r.Body, limit)
	largest := limit + 1
	capacity := int64(firstBytes)
	if r.ContentLength > 0 {
		// One more byte lets the last read find the end.
		largest = r.ContentLength + 1
		capacity = min(largest, pieceBytes)
	}
	var read []byte
	for {
		read = append(make([]byte, 0, capacity), read...)
		err := fill(&read, body)
		if errors.Is(err, io.EOF) {
			return read, nil
		}
		if err != nil {
			return nil, err
		}
		if capacity == pieceBytes {
			break
		}
		capacity = min(2*capacity, largest, pieceBytes)
		if capacity <= int64(len(read)) {
			return nil, &http.MaxBytesError{Limit: limit}
		}
	}
	all, err := readPieces(read, body, largest)
	if err == nil && all == nil {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return all, err
}

// readPieces reads the rest of a body whose first bytes are given, in pieces, and joins them
// once all have arrived: a body takes its size until then, and twice its size while it is
// joined. It returns nil if the body has the largest size or more.
func readPieces(first []byte, r io.Reader, largest int64) ([]byte, error) {
	list := [][]byte{first}
	defer func() {
		for _, p := range list[1:min(len(list), 1+maxReused)] {
			pieces.Put((*[pieceBytes]byte)(p[:pieceBytes]))
		}
	}()
	for size := int64(len(first)); size < largest; {
		buffer := pieces.Get().(*[pieceBytes]byte)[:]
		piece := buffer[:0:min(pieceBytes, largest-size)]
		err := fill(&piece, r)
		list = append(list, buffer[:len(piece)])
		if errors.Is(err, io.EOF) {
			return bytes.Join(list, nil), nil
		}
		if err != nil {
			return nil, err
		}
		size += int64(len(piece))
	}
	return nil, nil
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
