package sillbundlestore

import (
	"errors"
	"hash/fnv"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// FollowerConfig holds what a Follower needs.
type FollowerConfig struct {
	// Operators are those whose signatures count.
	Operators sillbundle.Operators
	// PeerSettleDelay is how long a fresh process listens to its peers before it
	// serves on their highest version, if it cannot read the head row.
	PeerSettleDelay time.Duration
	// UnconfirmedLimit is how long a version may go unconfirmed by the store,
	// directly or through peers, before routes that need a key are refused.
	UnconfirmedLimit time.Duration
	// IsolatedLimit is how long the process may hear neither the store nor any
	// peer before routes that need a key are refused.
	IsolatedLimit time.Duration
}

// Defaults of FollowerConfig.
const (
	DefaultPeerSettleDelay  = 5 * time.Second
	DefaultUnconfirmedLimit = 24 * time.Hour
	DefaultIsolatedLimit    = 10 * time.Second
)

// ErrOldVersion is returned for an offer that is not above the version in force.
var ErrOldVersion = errors.New("bundle version is not newer: nothing to do")

// ErrWrongVersion is returned for an offer whose signed base belongs to another version.
var ErrWrongVersion = errors.New("bundle was signed for another version: ask a peer that follows the store")

// Follower decides which configuration is in force in one process. It is not
// safe for concurrent use.
type Follower struct {
	cfg FollowerConfig
	// signed is the bundle of snapshot.Version.
	signed   *sillbundle.Signed
	snapshot *Snapshot
	// wanted is the highest version heard of.
	wanted sillid.BundleVersion
	// ahead is the last confirmation of a version above the one in force.
	ahead confirmation
	// began is when the follower was first told the time, after the process's start.
	began time.Time
	// headRead is whether the process has read the head row and the withdrawals
	// that it counts since its start.
	headRead bool
	// peerSince is when the first peer with a bundle was heard; zero before.
	peerSince time.Time
}

// confirmation tells that a version was the accepted one at an instant.
type confirmation struct {
	version sillid.BundleVersion
	at      time.Time
}

// NewFollower returns a follower without a bundle.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.PeerSettleDelay == 0 {
		cfg.PeerSettleDelay = DefaultPeerSettleDelay
	}
	if cfg.UnconfirmedLimit == 0 {
		cfg.UnconfirmedLimit = DefaultUnconfirmedLimit
	}
	if cfg.IsolatedLimit == 0 {
		cfg.IsolatedLimit = DefaultIsolatedLimit
	}
	return &Follower{cfg: cfg, snapshot: &Snapshot{
		unconfirmedLimit: cfg.UnconfirmedLimit,
		isolatedLimit:    cfg.IsolatedLimit,
	}}
}

// Snapshot returns the configuration in force.
func (f *Follower) Snapshot() *Snapshot { return f.snapshot }

// Signed returns the bundle in force as it was signed, or nil.
func (f *Follower) Signed() *sillbundle.Signed { return f.signed }

// PendingVersion returns a version above the one in force that the process has heard of, or 0.
func (f *Follower) PendingVersion() sillid.BundleVersion {
	if f.wanted > f.snapshot.Version {
		return f.wanted
	}
	return 0
}

// Offer puts a version in force if it is higher and its signatures hold.
func (f *Follower) Offer(now time.Time, v sillid.BundleVersion, signed *sillbundle.Signed) error {
	if v <= f.snapshot.Version {
		return ErrOldVersion
	}
	if signed.Base+1 != v {
		return eris.Wrapf(ErrWrongVersion, "sillbundlestore.Offer: base %d, version %d", signed.Base, v)
	}
	b, err := signed.Verify(f.cfg.Operators)
	if err != nil {
		return eris.Wrapf(err, "sillbundlestore.Offer: version %d", v)
	}
	f.signed = signed
	f.wanted = max(f.wanted, v)
	f.change(now, func(s *Snapshot) {
		s.Version = v
		s.Index = sillbundle.NewIndex(b)
		if f.ahead.version <= v && f.ahead.at.After(s.ConfirmedAt) {
			s.ConfirmedAt = f.ahead.at
		}
	})
	return nil
}

// change replaces the snapshot by a changed copy.
func (f *Follower) change(now time.Time, edit func(*Snapshot)) {
	if f.began.IsZero() {
		f.began = now
	}
	s := *f.snapshot
	edit(&s)
	s.Ready = s.Ready || f.ready(now, &s)
	f.snapshot = &s
}

// ready decides when a fresh process may serve. A process that was ready once
// stays ready.
func (f *Follower) ready(now time.Time, s *Snapshot) bool {
	if s.Version == 0 || s.Version < f.wanted {
		return false
	}
	// A peer's read of the head row is as good as an own one if it came after the
	// start: whatever an earlier process served here was accepted before.
	fresh := s.ConfirmedAt.After(f.began)
	settled := !f.peerSince.IsZero() && now.Sub(f.peerSince) >= f.cfg.PeerSettleDelay
	return f.headRead || fresh || settled
}

// Tick tells the follower the time.
func (f *Follower) Tick(now time.Time) {
	if !f.snapshot.Ready {
		f.change(now, func(*Snapshot) {})
	}
}

// ObserveHead tells of the head row as a read showed that was sent at sentAt. The
// withdrawals that the row counts are known.
func (f *Follower) ObserveHead(now, sentAt time.Time, v sillid.BundleVersion) {
	f.headRead = true
	f.heard(now)
	f.Confirm(now, v, now.Sub(sentAt))
}

func (f *Follower) heard(now time.Time) {
	f.change(now, func(s *Snapshot) { s.LastContactAt = now })
}

// ObservePeer tells of a peer that has a version in force; age is how long ago the
// peer last knew it to be the accepted one, if it ever did.
func (f *Follower) ObservePeer(now time.Time, v sillid.BundleVersion, confirmed bool, age time.Duration) {
	f.heard(now)
	if v == 0 {
		return
	}
	if f.peerSince.IsZero() {
		f.peerSince = now
	}
	if confirmed {
		f.Confirm(now, v, age)
		return
	}
	f.wanted = max(f.wanted, v)
	f.Tick(now)
}

// Confirm tells that v was the accepted version age ago.
func (f *Follower) Confirm(now time.Time, v sillid.BundleVersion, age time.Duration) {
	f.wanted = max(f.wanted, v)
	at := now.Add(-age)
	if v > f.snapshot.Version {
		if v > f.ahead.version || at.After(f.ahead.at) {
			f.ahead = confirmation{version: v, at: at}
		}
		return
	}
	// What was accepted then is not above the version in force.
	f.change(now, func(s *Snapshot) {
		if at.After(s.ConfirmedAt) {
			s.ConfirmedAt = at
		}
	})
}

// Withdraw takes a key out of force for good. It returns whether the notice is
// new, and an error if no operator signed it.
func (f *Follower) Withdraw(now time.Time, w sillbundle.Withdrawal) (bool, error) {
	if _, known := f.snapshot.Withdrawn[w.KeyHash]; known {
		return false, nil
	}
	if err := w.Verify(f.cfg.Operators); err != nil {
		return false, err
	}
	f.change(now, func(s *Snapshot) {
		withdrawn := make(map[sillbundle.KeyHash]sillbundle.Withdrawal, len(s.Withdrawn)+1)
		maps.Copy(withdrawn, s.Withdrawn)
		withdrawn[w.KeyHash] = w
		s.Withdrawn = withdrawn
		s.WithdrawalSum ^= sum(w.KeyHash)
	})
	return true, nil
}

func sum(hash sillbundle.KeyHash) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(hash))
	return h.Sum64()
}
