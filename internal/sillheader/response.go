package sillheader

import (
	"errors"
	"net/http"

	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for the head of a response that the protocol doesn't allow, although
// the parser of net/http takes it. Nothing of such a response can be trusted, its end included.
var ErrMalformed = errors.New("malformed head of a response")

// IsInformational returns whether a status is that of a response that comes before the final
// one. 101 is not: what follows it belongs to a protocol that nobody asked for.
func IsInformational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// CheckStatus returns ErrMalformed for a status that no final response has.
func CheckStatus(status int) error {
	if status < http.StatusOK {
		return eris.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}

// CheckValues returns ErrMalformed for a header with control characters in a value.
func CheckValues(h http.Header) error {
	for name, values := range h {
		for _, v := range values {
			if err := CheckValue(v); err != nil {
				return eris.Wrapf(ErrMalformed, "header %.40q: %v", name, err)
			}
		}
	}
	return nil
}
