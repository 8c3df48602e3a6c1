package sillbundlestore

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Snapshot is the configuration in force in a process at one instant. It never
// changes and is safe for concurrent use.
type Snapshot struct {
	// Version is 0 before the first bundle.
	Version sillid.BundleVersion
	// Index is nil before the first bundle.
	Index *sillbundle.Index
	// Withdrawn holds the keys that must not work whatever the bundle says.
	Withdrawn map[sillbundle.KeyHash]sillbundle.Withdrawal
	// WithdrawalSum is a checksum over the withdrawn keys, in any order.
	WithdrawalSum uint64
	// ConfirmedAt is the last instant at which no version above Version is known
	// to have been accepted; zero if there is none.
	ConfirmedAt time.Time
	// LastContactAt is when the store or a peer was last heard; zero before.
	LastContactAt time.Time
	// Ready is whether the process may serve.
	Ready bool

	unconfirmedLimit time.Duration
	isolatedLimit    time.Duration
}

// Fresh returns whether the process can still know of every withdrawn key.
// Routes that need a key are refused otherwise; open routes are served.
func (s *Snapshot) Fresh(now time.Time) bool {
	return now.Sub(s.ConfirmedAt) <= s.unconfirmedLimit && now.Sub(s.LastContactAt) <= s.isolatedLimit
}

// KeyState tells what is known of a key.
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
