package sillbundlestore

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Follower FollowerConfig
	// Table and Objects are the store; both are nil in a process that follows
	// only its peers.
	Table   *silltable.Store
	Objects *sillobject.Store
	// Publisher records withdrawals that were submitted while the store was
	// unavailable; nil if Table is.
	Publisher *Publisher
	// Now reads the monotonic clock.
	Now func() time.Time
	// Random adds jitter to the polls and chooses which process records a
	// withdrawal. It must not be shared with other code.
	Random *rand.Rand
	// PollInterval is the mean time between two reads of the head row; 0 means DefaultPollInterval.
	PollInterval time.Duration
	// CallTimeout limits each call to the store; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
	// OnChange is called with each snapshot that has a new version or withdrawal,
	// in order. It must not call the service, which holds its lock meanwhile. It
	// may be nil.
	OnChange func(*Snapshot)
	// Log is the logger of the process; nil disables logging.
	Log *zap.Logger
	// Metrics counts polls and offers; if nil, they are not exported.
	Metrics *Metrics
}

// Defaults of ServiceConfig.
const (
	DefaultPollInterval = 2 * time.Second
	DefaultCallTimeout  = 2 * time.Second
)

// Service keeps the configuration of a process up to date from the store and from
// peers. It is safe for concurrent use.
type Service struct {
	cfg      ServiceConfig
	snapshot atomic.Pointer[Snapshot]

	mu       sync.Mutex
	follower *Follower
	// recorded is the set of withdrawals known to have a row in the table.
	recorded map[sillbundle.KeyHash]bool
	// listedCount is the head row's number of withdrawals when the withdrawals
	// were last listed. Only the goroutine of Run uses it.
	listedCount int
	// submitted is the set of withdrawals that operators submitted to this process
	// and that it still has to record.
	submitted map[sillbundle.KeyHash]bool
}

// NewService returns a service without a bundle. Call Run to poll the store.
func NewService(cfg ServiceConfig) *Service {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.OnChange == nil {
		cfg.OnChange = func(*Snapshot) {}
	}
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	cfg.Log = cfg.Log.Named("bundle")
	s := &Service{
		cfg:       cfg,
		follower:  NewFollower(cfg.Follower),
		recorded:  map[sillbundle.KeyHash]bool{},
		submitted: map[sillbundle.KeyHash]bool{},
	}
	s.snapshot.Store(s.follower.Snapshot())
	return s
}

// Snapshot returns the configuration in force.
func (s *Service) Snapshot() *Snapshot { return s.snapshot.Load() }

// Signed returns the version in force and its signed bundle, to send to a peer;
// 0 and nil before the first bundle.
func (s *Service) Signed() (sillid.BundleVersion, *sillbundle.Signed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.follower.Snapshot().Version, s.follower.Signed()
}

// update runs a step of the follower under the lock and publishes the resulting
// snapshot.
func (s *Service) update(step func(f *Follower, now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.follower.Snapshot()
	step(s.follower, s.cfg.Now())
	after := s.follower.Snapshot()
	s.snapshot.Store(after)
	if after.Version != before.Version || len(after.Withdrawn) != len(before.Withdrawn) {
		s.cfg.Metrics.inForce(after)
		s.cfg.Log.Info("Applied configuration.",
			zap.Uint64("version", uint64(after.Version)), zap.Int("withdrawn-keys", len(after.Withdrawn)))
		s.cfg.OnChange(after)
	}
}

// Offer puts a version in force that came from a peer, an operator or the store.
// It returns the errors of Follower.Offer.
func (s *Service) Offer(v sillid.BundleVersion, signed *sillbundle.Signed) error {
	var err error
	s.update(func(f *Follower, now time.Time) { err = f.Offer(now, v, signed) })
	if err != nil {
		s.cfg.Metrics.offerRefused(err)
	}
	return err
}

// Digest summarises a process's configuration for its peers; each heartbeat
// carries one.
type Digest struct {
	Version sillid.BundleVersion `json:"version" cbor:"1,keyasint"`
	// Confirmed is whether the process ever knew Version to be the accepted one.
	Confirmed bool `json:"confirmed" cbor:"2,keyasint"`
	// AgeMS is how long ago Version was last confirmed, in milliseconds.
	AgeMS int64 `json:"age-ms" cbor:"3,keyasint"`
	// Withdrawals is the number of withdrawn keys and WithdrawalSum a checksum over them.
	Withdrawals   int    `json:"withdrawals" cbor:"4,keyasint"`
	WithdrawalSum uint64 `json:"withdrawal-sum" cbor:"5,keyasint"`
}

// Digest returns the digest of the configuration in force. Its age is rounded up,
// so that it is never too low.
func (s *Service) Digest() Digest {
	c := s.Snapshot()
	d := Digest{Version: c.Version, Confirmed: !c.ConfirmedAt.IsZero(), Withdrawals: len(c.Withdrawn), WithdrawalSum: c.WithdrawalSum}
	if d.Confirmed {
		d.AgeMS = s.cfg.Now().Sub(c.ConfirmedAt).Milliseconds() + 1
	}
	return d
}

// Missing lists what a peer has and this process lacks.
type Missing struct {
	// Bundle is whether to request the peer's signed bundle, for Offer.
	Bundle bool
	// Withdrawals is whether to request the peer's withdrawals, for
	// ApplyWithdrawals.
	Withdrawals bool
}

// HandleDigest records a peer's digest and returns what to request from the peer.
func (s *Service) HandleDigest(d Digest) Missing {
	s.update(func(f *Follower, now time.Time) {
		f.ObservePeer(now, d.Version, d.Confirmed, time.Duration(d.AgeMS)*time.Millisecond)
	})
	own := s.Digest()
	return Missing{
		Bundle:      d.Version > own.Version,
		Withdrawals: d.Withdrawals > 0 && (d.Withdrawals != own.Withdrawals || d.WithdrawalSum != own.WithdrawalSum),
	}
}

// Withdrawals returns every known withdrawal, to send to a peer.
func (s *Service) Withdrawals() []sillbundle.Withdrawal {
	var list []sillbundle.Withdrawal
	for _, w := range s.Snapshot().Withdrawn {
		list = append(list, w)
	}
	return list
}

// ApplyWithdrawals applies withdrawals of a peer or the store. It skips those that
// no operator signed and returns the first error.
func (s *Service) ApplyWithdrawals(list []sillbundle.Withdrawal) error {
	var first error
	s.update(func(f *Follower, now time.Time) {
		for _, w := range list {
			if _, err := f.Withdraw(now, w); err != nil && first == nil {
				first = err
			}
		}
	})
	if first != nil {
		s.cfg.Metrics.offerRefused(first)
	}
	return first
}

// SubmitWithdrawal applies a withdrawal that an operator submitted to this process.
// Run writes it to the store at the first poll that reaches the store.
func (s *Service) SubmitWithdrawal(w sillbundle.Withdrawal) error {
	if err := s.ApplyWithdrawals([]sillbundle.Withdrawal{w}); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submitted[w.KeyHash] = true
	return nil
}

// decodeWithdrawals decodes withdrawal rows and skips malformed ones.
func decodeWithdrawals(rows []silltable.Row) []sillbundle.Withdrawal {
	var list []sillbundle.Withdrawal
	for _, r := range rows {
		var w sillbundle.Withdrawal
		if json.Unmarshal(r.Value, &w) == nil {
			list = append(list, w)
		}
	}
	return list
}

// withTimeout returns a context with the timeout of a call to the store.
func (s *Service) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, s.cfg.CallTimeout)
}
