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

// maxStatus is the largest number of three digits.
const maxStatus = 999

// CheckStatus returns ErrMalformed for a status that no final response has.
func CheckStatus(status int) error {
	if status < http.StatusOK || status > maxStatus {
		return eris.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}

// CheckFields returns ErrMalformed for the header of a response with a name that is no token, or
// a value with control characters. The parser of net/http takes names with blanks, so that
// "Content-Length : 5" is not the length of the body.
func CheckFields(h http.Header) error {
	for name, values := range h {
		if err := CheckField(name, values...); err != nil {
			return err
		}
	}
	return nil
}

// CheckField is CheckFields for the values of one name.
func CheckField(name string, values ...string) error {
	if !IsToken(name) {
		return eris.Wrapf(ErrMalformed, "header name %.40q is not a token", name)
	}
	for _, v := range values {
		if err := CheckValue(v); err != nil {
			return eris.Wrapf(ErrMalformed, "header %.40q: %v", name, err)
		}
	}
	return nil
}
