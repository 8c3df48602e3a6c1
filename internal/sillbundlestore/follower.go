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

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Operators holds the operators whose signatures are accepted.
	Operators sillbundle.Operators
	// PeerSettleDelay is how long a process that was just started and can't read
	// the head row collects versions from its peers before it serves the highest.
	PeerSettleDelay time.Duration
	// UnconfirmedLimit is the maximum time since the store last confirmed the
	// version, directly or through peers. After it, requests to routes that need
	// a key are refused.
	UnconfirmedLimit time.Duration
	// IsolatedLimit is the maximum time without contact to the store or any peer.
	// After it, requests to routes that need a key are refused.
	IsolatedLimit time.Duration
}

// Defaults of FollowerConfig.
const (
	DefaultPeerSettleDelay  = 5 * time.Second
	DefaultUnconfirmedLimit = 24 * time.Hour
	DefaultIsolatedLimit    = 10 * time.Second
)

// ErrOldVersion is returned for an offered version that is not above the one in force.
var ErrOldVersion = errors.New("bundle version is not newer: nothing to do")

// ErrWrongVersion is returned if the signed base of an offered bundle is not the
// version before the offered one.
var ErrWrongVersion = errors.New("bundle was signed for another version: ask a peer that follows the store")

// Follower decides which configuration is in force in one process. It is not
// safe for concurrent use.
type Follower struct {
	cfg FollowerConfig
	// signed is the bundle of snapshot.Version.
	signed   *sillbundle.Signed
	snapshot *Snapshot
	// highestSeen is the highest version that the store or a peer reported.
	highestSeen sillid.BundleVersion
	// pendingConfirmation is a confirmation of a version above the one in force. It
	// is applied when that version or a higher one is put in force.
	pendingConfirmation confirmation
	// startedAt is the time of the first update, shortly after the process started.
	startedAt time.Time
	// headRead is whether the process has read the head row and every withdrawal
	// that the row counts since its start.
	headRead bool
	// firstPeerAt is when a peer first reported a bundle version; zero before that.
	firstPeerAt time.Time
}

// confirmation records that a version was the accepted one at a point in time.
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

// Signed returns the signed bundle in force, or nil before the first one.
func (f *Follower) Signed() *sillbundle.Signed { return f.signed }

// PendingVersion returns the highest reported version if it is above the one in
// force, and 0 otherwise.
func (f *Follower) PendingVersion() sillid.BundleVersion {
	if f.highestSeen > f.snapshot.Version {
		return f.highestSeen
	}
	return 0
}

// Offer puts a version in force. It returns ErrOldVersion if the version is not
// above the one in force, ErrWrongVersion if the signed base does not match it,
// and the errors of Signed.Verify.
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
	f.highestSeen = max(f.highestSeen, v)
	f.update(now, func(s *Snapshot) {
		s.Version = v
		s.Index = sillbundle.NewIndex(b)
		if f.pendingConfirmation.version <= v && f.pendingConfirmation.at.After(s.ConfirmedAt) {
			s.ConfirmedAt = f.pendingConfirmation.at
		}
	})
	return nil
}

// update replaces the snapshot by a copy that edit has changed.
func (f *Follower) update(now time.Time, edit func(*Snapshot)) {
	if f.startedAt.IsZero() {
		f.startedAt = now
	}
	s := *f.snapshot
	edit(&s)
	s.Ready = s.Ready || f.ready(now, &s)
	f.snapshot = &s
}

// ready reports whether a process that was not ready yet may serve. The caller
// keeps a process ready once it was.
func (f *Follower) ready(now time.Time, s *Snapshot) bool {
	if s.Version == 0 || s.Version < f.highestSeen {
		return false
	}
	// A peer's read of the head row after this process started replaces its own
	// read: every version that an earlier run served here was accepted before the
	// start, so the process does not go back to an older one.
	fresh := s.ConfirmedAt.After(f.startedAt)
	settled := !f.firstPeerAt.IsZero() && now.Sub(f.firstPeerAt) >= f.cfg.PeerSettleDelay
	return f.headRead || fresh || settled
}

// Tick updates the readiness of a process that is not ready yet. Call it
// periodically.
func (f *Follower) Tick(now time.Time) {
	if !f.snapshot.Ready {
		f.update(now, func(*Snapshot) {})
	}
}

// ObserveHead records that a read of the head row, sent at sentAt, returned
// version v. The caller must have applied every withdrawal that the row counts.
func (f *Follower) ObserveHead(now, sentAt time.Time, v sillid.BundleVersion) {
	f.headRead = true
	f.recordContact(now)
	f.Confirm(now, v, now.Sub(sentAt))
}

// recordContact records that the store or a peer responded.
func (f *Follower) recordContact(now time.Time) {
	f.update(now, func(s *Snapshot) { s.LastContactAt = now })
}

// ObservePeer records that a peer has version v in force. If confirmed is set,
// the peer last knew v to be the accepted version age ago.
func (f *Follower) ObservePeer(now time.Time, v sillid.BundleVersion, confirmed bool, age time.Duration) {
	f.recordContact(now)
	if v == 0 {
		return
	}
	if f.firstPeerAt.IsZero() {
		f.firstPeerAt = now
	}
	if confirmed {
		f.Confirm(now, v, age)
		return
	}
	f.highestSeen = max(f.highestSeen, v)
	f.Tick(now)
}

// Confirm records that v was the accepted version age ago.
func (f *Follower) Confirm(now time.Time, v sillid.BundleVersion, age time.Duration) {
	f.highestSeen = max(f.highestSeen, v)
	at := now.Add(-age)
	if v > f.snapshot.Version {
		if v > f.pendingConfirmation.version || at.After(f.pendingConfirmation.at) {
			f.pendingConfirmation = confirmation{version: v, at: at}
		}
		return
	}
	// No version above the one in force was accepted at that time.
	f.update(now, func(s *Snapshot) {
		if at.After(s.ConfirmedAt) {
			s.ConfirmedAt = at
		}
	})
}

// Withdraw revokes a key permanently. It returns whether the withdrawal is new,
// and an error if no operator signed it.
func (f *Follower) Withdraw(now time.Time, w sillbundle.Withdrawal) (bool, error) {
	if _, known := f.snapshot.Withdrawn[w.KeyHash]; known {
		return false, nil
	}
	if err := w.Verify(f.cfg.Operators); err != nil {
		return false, err
	}
	f.update(now, func(s *Snapshot) {
		withdrawn := make(map[sillbundle.KeyHash]sillbundle.Withdrawal, len(s.Withdrawn)+1)
		maps.Copy(withdrawn, s.Withdrawn)
		withdrawn[w.KeyHash] = w
		s.Withdrawn = withdrawn
		s.WithdrawalSum ^= checksum(w.KeyHash)
	})
	return true, nil
}

func checksum(hash sillbundle.KeyHash) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(hash))
	return h.Sum64()
}
