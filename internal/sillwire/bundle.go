package sillwire

import (
	"fmt"
	"io"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// WriteBundle sends a configuration, split into frames.
func WriteBundle(w io.Writer, version sillid.BundleVersion, data []byte) error {
	for {
		n := min(len(data), MaxChunkBytes)
		part := &Bundle{Version: version, Data: data[:n], Last: n == len(data)}
		if err := Write(w, part); err != nil {
			return err
		}
		if part.Last {
			return nil
		}
		data = data[n:]
	}
}

// ReadBundle receives a configuration of at most limit bytes.
func ReadBundle(r io.Reader, limit int) (*Bundle, error) {
	first, err := Expect[*Bundle](r)
	if err != nil {
		return nil, err
	}
	return ReadBundleRest(r, first, limit)
}

// ReadBundleRest receives the remaining frames of a configuration after the first.
func ReadBundleRest(r io.Reader, first *Bundle, limit int) (*Bundle, error) {
	whole := *first
	for last := first.Last; !last; {
		part, err := Expect[*Bundle](r)
		if err != nil {
			return nil, err
		}
		whole.Data = append(whole.Data, part.Data...)
		if len(whole.Data) > limit {
			return nil, &FrameError{Reason: fmt.Sprintf("configuration exceeds %d bytes", limit)}
		}
		last = part.Last
	}
	return &whole, nil
}
