package sillserver

import (
	"errors"
	"io"
	"net/http"
)

const (
	// firstBytes is the first allocation for a body of unknown length.
	firstBytes = 1 << 10
	// trustedBytes is what is allocated for an announced length before the bytes arrive.
	trustedBytes = 64 << 10
)

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
		capacity = min(largest, trustedBytes)
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
		capacity = min(2*capacity, largest)
		if capacity <= int64(len(read)) {
			return nil, &http.MaxBytesError{Limit: limit}
		}
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
