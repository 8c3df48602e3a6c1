// Package sillbody reads bodies of HTTP responses within a limit.
package sillbody

import (
	"io"

	"github.com/rotisserie/eris"
)

// ErrTooLong is returned for a body that is longer than its limit.
var ErrTooLong = eris.New("the body is longer than its reader takes")

// ReadAll reads a body of at most limit bytes. A longer one is ErrTooLong: its first bytes could
// be taken for the whole.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, eris.Wrapf(ErrTooLong, "sillbody.ReadAll: limit of %d bytes", limit)
	}
	return b, nil
}
