package sillcrash

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Fingerprint identifies requests of one organisation with the same content.
type Fingerprint [16]byte

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// ParseFingerprint returns the fingerprint with hexadecimal digits, and false if they are none.
func ParseFingerprint(digits string) (Fingerprint, bool) {
	var f Fingerprint
	b, err := hex.DecodeString(digits)
	if err != nil || len(b) != len(f) {
		return Fingerprint{}, false
	}
	return Fingerprint(b), true
}

// NewFingerprint returns the fingerprint of a request: the first 16 bytes of a
// SHA-256 hash.
func NewFingerprint(organisation sillid.OrganisationID, method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, s := range []string{string(organisation), method, path} {
		// Writing to a hash never fails. The zero byte separates the parts.
		_, _ = h.Write(append([]byte(s), 0))
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil)[:16])
}
