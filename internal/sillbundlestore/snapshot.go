package sillbundlestore

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Snapshot is the configuration in force in a process at one point in time. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	// Version is 0 before the first bundle.
	Version sillid.BundleVersion
	// Index is nil before the first bundle.
	Index *sillbundle.Index
	// Withdrawn holds the revoked keys, which are refused even if the bundle has them.
	Withdrawn map[sillbundle.KeyHash]sillbundle.Withdrawal
	// WithdrawalSum is a checksum over the withdrawn keys that does not depend on
	// their order.
	WithdrawalSum uint64
	// ConfirmedAt is the latest time at which the accepted version is known not to
	// have been above Version; zero if there is none.
	ConfirmedAt time.Time
	// LastContactAt is when the store or a peer last responded; zero before that.
	LastContactAt time.Time
	// Ready is whether the process may serve.
	Ready bool

	unconfirmedLimit time.Duration
	isolatedLimit    time.Duration
}

// Fresh reports whether the snapshot is recent enough to rely on its withdrawn
// keys. Requests to routes that need a key are refused otherwise; open routes are
// served.
func (s *Snapshot) Fresh(now time.Time) bool {
	return now.Sub(s.ConfirmedAt) <= s.unconfirmedLimit && now.Sub(s.LastContactAt) <= s.isolatedLimit
}

// KeyState is whether a key is unknown, in force or withdrawn.
type KeyState int

// The states of a key.
const (
	KeyUnknown KeyState = iota
	KeyInForce
	KeyWithdrawn
)

// Key returns the organisation of a key. The organisation is nil unless the key
// is in force.
func (s *Snapshot) Key(hash sillbundle.KeyHash) (*sillbundle.Organisation, KeyState) {
	if _, withdrawn := s.Withdrawn[hash]; withdrawn {
		return nil, KeyWithdrawn
	}
	if s.Index == nil {
		return nil, KeyUnknown
	}
	o := s.Index.ByKey(hash)
	if o == nil {
		return nil, KeyUnknown
	}
	return o, KeyInForce
}
