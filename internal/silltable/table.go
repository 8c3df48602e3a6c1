// Package silltable is the client of the platform's transactional table service.
// It is the only package that implements the service's protocol.
//
// Rows have a key, a value and a revision. The service increases the revision with
// each write of the row; revision 0 stands for a row that does not exist. A
// transaction is an atomic compare-and-set: it checks revisions and writes rows,
// either all or none.
package silltable

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
)

// Revision identifies a state of a row and increases with each write of it. Absent
// rows have the revision Absent.
type Revision uint64

// Absent is the revision of a row that does not exist.
const Absent Revision = 0

// Row is one row of the table.
type Row struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value"`
	Revision Revision `json:"revision"`
}

// Check makes a transaction fail with ErrConflict unless the row has the revision.
type Check struct {
	Key      string   `json:"key"`
	Revision Revision `json:"revision"`
}

// Write sets the value of a row, or deletes the row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: if every check holds, every write takes effect.
type Txn struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

var (
	// ErrNotFound is returned for a row that does not exist.
	ErrNotFound = errors.New("row not found: check the key")
	// ErrConflict is returned if a check of the transaction failed; nothing was written.
	ErrConflict = errors.New("row changed meanwhile: read it again and retry")
	// ErrUnavailable is returned if the service refused the call or could not be
	// reached; nothing was written.
	ErrUnavailable = errors.New("table service unavailable: retry later")
	// ErrUnknown is returned if the response was lost; the transaction may have taken effect.
	ErrUnknown = errors.New("outcome of the table call unknown: read the rows before a retry")
)

// Result returns the result of a write by its error, as metrics label it.
func Result(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrUnavailable):
		return "unavailable"
	default:
		return "unknown"
	}
}

// Store is the interface to the table service. Its fields are safe for concurrent use.
type Store struct {
	// Get reads one row. Errors: ErrNotFound, ErrUnavailable.
	Get func(ctx context.Context, key string) (Row, error)
	// List reads at most limit rows whose keys start with prefix and are greater
	// than the key after, sorted by key. Errors: ErrUnavailable.
	List func(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction and returns the revision of every written row
	// (0 for a deleted one), in the order of the writes. Errors: ErrConflict,
	// ErrUnavailable, ErrUnknown.
	Commit func(ctx context.Context, txn Txn) ([]Revision, error)
}

// listPage is the number of rows that ListAll reads in one call.
const listPage = 500

// ListAll reads every row whose key starts with prefix, page by page.
func (s *Store) ListAll(ctx context.Context, prefix string) ([]Row, error) {
	var all []Row
	after := ""
	for {
		rows, err := s.List(ctx, prefix, after, listPage)
		if err != nil {
			return nil, eris.Wrapf(err, "silltable.ListAll: prefix %q", prefix)
		}
		all = append(all, rows...)
		if len(rows) < listPage {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// GetOrAbsent reads one row; a row that does not exist comes back with the
// revision Absent and no error.
func (s *Store) GetOrAbsent(ctx context.Context, key string) (Row, error) {
	row, err := s.Get(ctx, key)
	if errors.Is(err, ErrNotFound) {
		return Row{Key: key, Revision: Absent}, nil
	}
	return row, err
}
