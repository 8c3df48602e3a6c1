package sillbundlestore

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
)

// processesPerRecorder is the number of processes of which one, on average, writes
// the withdrawals it received from peers to the store at each poll. Later writers
// find the row and only read.
const processesPerRecorder = 50

// Run polls the head row until ctx ends. A poll makes one read unless there is a
// change to load or a withdrawal to record.
func (s *Service) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s.poll(ctx)
		timer := time.NewTimer(s.nextPoll())
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// nextPoll returns the time until the next poll: PollInterval with a jitter of a
// quarter in both directions.
func (s *Service) nextPoll() time.Duration {
	d := s.cfg.PollInterval
	return d*3/4 + time.Duration(s.cfg.Random.Int64N(int64(d/2)))
}

func (s *Service) poll(ctx context.Context) {
	if s.cfg.Table == nil {
		s.update(func(f *Follower, now time.Time) { f.Tick(now) })
		return
	}
	sentAt := s.cfg.Now()
	head, err := s.readHead(ctx)
	// The withdrawals are applied before any bundle: a process must not serve a
	// bundle with a key that was withdrawn.
	if err == nil && head.Withdrawals != s.listedCount {
		err = s.listWithdrawals(ctx, head.Withdrawals)
	}
	s.update(func(f *Follower, now time.Time) {
		if err != nil {
			f.Tick(now)
			return
		}
		f.ObserveHead(now, sentAt, head.Version)
	})
	if err != nil {
		return
	}
	if head.Version > s.Snapshot().Version {
		s.fetch(ctx, head.Accepted)
	}
	s.recordWithdrawals(ctx)
}

func (s *Service) readHead(ctx context.Context) (Head, error) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	head, _, err := readHead(ctx, s.cfg.Table)
	s.cfg.Metrics.polled("head", err)
	return head, err
}

// fetch loads a version from the object store and applies it. If that fails, a
// peer or the next poll supplies the version.
func (s *Service) fetch(ctx context.Context, accepted Accepted) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	signed, err := loadObject(ctx, s.cfg.Objects, accepted.Hash)
	s.cfg.Metrics.polled("object", err)
	if err == nil {
		err = s.Offer(accepted.Version, signed)
	}
	if err != nil {
		s.cfg.Log.Warn("Could not apply the accepted version; waiting for a peer or the next poll.", zap.Uint64("version", uint64(accepted.Version)), zap.Error(err))
	}
}

// recordWithdrawals writes withdrawals to the store that were submitted while the
// store was unavailable.
func (s *Service) recordWithdrawals(ctx context.Context) {
	for _, w := range s.unrecorded() {
		err := s.cfg.Publisher.RecordWithdrawal(ctx, w)
		s.cfg.Metrics.polled("record", err)
		if err != nil {
			return
		}
		s.markRecorded(w)
	}
}

// listWithdrawals reads and applies the withdrawals in the store. count is their
// number according to the head row.
func (s *Service) listWithdrawals(ctx context.Context, count int) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	rows, err := s.cfg.Table.ListAll(ctx, withdrawalPrefix)
	s.cfg.Metrics.polled("withdrawals", err)
	if err != nil {
		return err
	}
	list := decodeWithdrawals(rows)
	// A withdrawal that no operator of the settings signed is counted in the
	// metrics and skipped.
	_ = s.ApplyWithdrawals(list)
	for _, w := range list {
		s.markRecorded(w)
	}
	s.listedCount = count
	return nil
}

func (s *Service) markRecorded(w sillbundle.Withdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded[w.KeyHash] = true
	delete(s.submitted, w.KeyHash)
}

// unrecorded returns the withdrawals that this process should write to the store
// now: those submitted to it and, if it is chosen at random, those of its peers.
func (s *Service) unrecorded() []sillbundle.Withdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := s.cfg.Random.IntN(processesPerRecorder) == 0
	var list []sillbundle.Withdrawal
	for hash, w := range s.follower.Snapshot().Withdrawn {
		if !s.recorded[hash] && (chosen || s.submitted[hash]) {
			list = append(list, w)
		}
	}
	return list
}
