package sillbundlestore

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
)

// recordShare is the number of processes of which, on the average, one writes a
// withdrawal of a peer to the store in each poll. The writes of the others find
// the row and cost reads only.
const recordShare = 50

// Run polls the head row until ctx ends. Only a change costs more than one read
// in each poll.
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

// nextPoll returns a time from three quarters to five quarters of the mean.
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
	// The withdrawals go before any bundle: a process must not serve on a bundle
	// that has a key which was withdrawn for good.
	if err == nil && head.Withdrawals != s.listed {
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

// fetch loads a version from the object store. If it fails, peers or the next
// poll bring the version.
func (s *Service) fetch(ctx context.Context, accepted Accepted) {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	signed, err := loadObject(ctx, s.cfg.Objects, accepted.Hash)
	s.cfg.Metrics.polled("object", err)
	if err == nil {
		err = s.Offer(accepted.Version, signed)
	}
	if err != nil {
		s.cfg.Log.Warn("Could not apply the accepted version.", zap.Uint64("version", uint64(accepted.Version)), zap.Error(err))
	}
}

// recordWithdrawals writes withdrawals that were made while the store was down.
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

// listWithdrawals reads the withdrawals of the store.
func (s *Service) listWithdrawals(ctx context.Context, count int) error {
	ctx, cancel := s.withTimeout(ctx)
	defer cancel()
	rows, err := s.cfg.Table.ListAll(ctx, withdrawalPrefix)
	s.cfg.Metrics.polled("withdrawals", err)
	if err != nil {
		return err
	}
	list := decodeWithdrawals(rows)
	// A notice that no operator of the settings signed is counted and skipped.
	_ = s.ApplyWithdrawals(list)
	for _, w := range list {
		s.markRecorded(w)
	}
	s.listed = count
	return nil
}

func (s *Service) markRecorded(w sillbundle.Withdrawal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorded[w.KeyHash] = true
	delete(s.own, w.KeyHash)
}

// unrecorded returns the withdrawals to be written now.
func (s *Service) unrecorded() []sillbundle.Withdrawal {
	s.mu.Lock()
	defer s.mu.Unlock()
	chosen := s.cfg.Random.IntN(recordShare) == 0
	var list []sillbundle.Withdrawal
	for hash, w := range s.follower.Snapshot().Withdrawn {
		if !s.recorded[hash] && (chosen || s.own[hash]) {
			list = append(list, w)
		}
	}
	return list
}
