// Package sillobject is the client of the platform's object store. It is the
// only package that implements the store's protocol.
//
// Objects are immutable: an object is written once under its name.
package sillobject

import (
	"context"
	"errors"
)

var (
	// ErrNotFound is returned for an object that does not exist.
	ErrNotFound = errors.New("object not found: check the name")
	// ErrExists is returned if an object of that name already exists; it is not changed.
	ErrExists = errors.New("object exists already: choose another name")
	// ErrTooLarge is returned for an object of more than MaxBytes; nothing was written.
	ErrTooLarge = errors.New("object larger than its readers take: split it")
	// ErrUnavailable is returned if the store refused the call or could not be
	// reached, or if a read failed; nothing was written.
	ErrUnavailable = errors.New("object store unavailable: retry later")
	// ErrUnknown is returned if the response was lost; the object may have been written.
	ErrUnknown = errors.New("outcome of the object call unknown: read the object before a retry")
)

// MaxBytes bounds the size of an object, when it is written and when it is read.
const MaxBytes = 64 << 20

// Store is the interface to the object store. Its fields are safe for concurrent use.
type Store struct {
	// Get reads an object. Errors: ErrNotFound, ErrTooLarge, ErrUnavailable.
	Get func(ctx context.Context, name string) ([]byte, error)
	// PutNew writes an object that does not exist yet. Errors: ErrExists,
	// ErrTooLarge, ErrUnavailable, ErrUnknown.
	PutNew func(ctx context.Context, name string, data []byte) error
}
