package sillbundlestore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// PublisherConfig configures a Publisher.
type PublisherConfig struct {
	Table   *silltable.Store
	Objects *sillobject.Store
	// Operators holds the operators whose signatures are accepted.
	Operators sillbundle.Operators
	// Now returns the current time. It only goes into the rows' AcceptedAtMS.
	Now func() time.Time
	// Attempts limits the attempts of each step; 0 means DefaultAttempts.
	Attempts int
	// RetryInterval is the delay between two attempts; 0 means DefaultRetryInterval.
	RetryInterval time.Duration
	// Metrics counts results; if nil, they are not exported.
	Metrics *Metrics
}

// Defaults of PublisherConfig.
const (
	DefaultAttempts      = 6
	DefaultRetryInterval = 200 * time.Millisecond
)

// Publisher writes bundles and withdrawals to the store. It is safe for concurrent
// use, and several processes may use the same store.
type Publisher struct {
	cfg PublisherConfig
}

// NewPublisher returns a publisher.
func NewPublisher(cfg PublisherConfig) *Publisher {
	if cfg.Attempts == 0 {
		cfg.Attempts = DefaultAttempts
	}
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = DefaultRetryInterval
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	return &Publisher{cfg: cfg}
}

// Conflict is the error for a signed bundle whose base is not the accepted version.
type Conflict struct {
	// Base is the version that the operator signed.
	Base sillid.BundleVersion
	// Current is the accepted version.
	Current Accepted
	// Next is the version that replaced Base; its version is 0 if Base is not accepted yet.
	Next Accepted
}

// Error names the operator who changed the base first and the version to rebase on.
func (c *Conflict) Error() string {
	if c.Base > c.Current.Version {
		return fmt.Sprintf("base version %d is not accepted; the current version is %d: sign anew with base version %d",
			c.Base, c.Current.Version, c.Current.Version)
	}
	return fmt.Sprintf("operator %q changed version %d first; the current version is %d by %q: rebase on version %d and sign anew",
		c.Next.By, c.Base, c.Current.Version, c.Current.By, c.Current.Version)
}

var (
	// ErrNotAccepted is returned if the store was unavailable and nothing was accepted.
	ErrNotAccepted = errors.New("the store is unavailable and nothing was accepted: try again later")
	// ErrAcceptUnknown is returned if the store's response to a commit was lost and
	// the outcome could not be read afterwards.
	ErrAcceptUnknown = errors.New("the store's answer was lost: send the same signed bundle again, which accepts it at most once")
	// ErrNoVersion is returned for a version that was never accepted.
	ErrNoVersion = errors.New("no such bundle version: look it up with 'wasabisill bundle history'")
)

// Accept makes the signed bundle the successor of its base. It is idempotent: the
// same signed bundle is accepted once, and each call returns the accepted version.
// Errors: *Conflict, ErrNotAccepted, ErrAcceptUnknown, and those of Signed.Verify.
func (p *Publisher) Accept(ctx context.Context, signed *sillbundle.Signed) (Accepted, error) {
	accepted, err := p.accept(ctx, signed)
	p.cfg.Metrics.accepted(err)
	return accepted, err
}

func (p *Publisher) accept(ctx context.Context, signed *sillbundle.Signed) (Accepted, error) {
	if _, err := signed.Verify(p.cfg.Operators); err != nil {
		return Accepted{}, err
	}
	data, hash := encodeSigned(signed)
	if err := p.putObject(ctx, hash, data); err != nil {
		return Accepted{}, err
	}
	next := Accepted{
		Version:      signed.Base + 1,
		Hash:         hash,
		By:           signed.FirstSigner(),
		AcceptedAtMS: p.cfg.Now().UnixMilli(),
	}
	responseLost := false
	for range p.cfg.Attempts {
		accepted, err := p.tryAccept(ctx, next)
		if err == nil {
			return accepted, nil
		}
		var conflict *Conflict
		if errors.As(err, &conflict) {
			return Accepted{}, err
		}
		responseLost = responseLost || errors.Is(err, silltable.ErrUnknown)
		if err := p.waitBeforeRetry(ctx, err); err != nil {
			break
		}
	}
	if responseLost {
		// Place texts that end in problem details of the administration API keep the
		// package's former name, sillpublish.
		return Accepted{}, eris.Wrap(ErrAcceptUnknown, "sillpublish.Accept")
	}
	return Accepted{}, eris.Wrap(ErrNotAccepted, "sillpublish.Accept")
}

// waitBeforeRetry waits for the retry interval, or not at all if the attempt failed
// because of a concurrent commit. It returns an error if ctx has ended.
func (p *Publisher) waitBeforeRetry(ctx context.Context, err error) error {
	p.cfg.Metrics.retried(err)
	if errors.Is(err, silltable.ErrConflict) {
		return ctx.Err()
	}
	timer := time.NewTimer(p.cfg.RetryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// tryAccept reads the head row, which also shows the outcome of an earlier attempt,
// and commits next if its base is still current.
func (p *Publisher) tryAccept(ctx context.Context, next Accepted) (Accepted, error) {
	head, revision, err := readHead(ctx, p.cfg.Table)
	if err != nil {
		return Accepted{}, err
	}
	base := next.Version - 1
	if head.Version != base {
		return p.checkSuccessor(ctx, next, head)
	}
	txn := silltable.Txn{
		Checks: []silltable.Check{
			{Key: HeadKey, Revision: revision},
			{Key: versionKey(next.Version), Revision: silltable.Absent},
		},
		Writes: []silltable.Write{
			{Key: HeadKey, Value: encodeRow(Head{Accepted: next, Withdrawals: head.Withdrawals})},
			{Key: versionKey(next.Version), Value: encodeRow(next)},
		},
	}
	if _, err := p.cfg.Table.Commit(ctx, txn); err != nil {
		return Accepted{}, err
	}
	return next, nil
}

// checkSuccessor returns the version after the base if it is next itself, accepted by
// an earlier call or attempt, and a *Conflict otherwise.
func (p *Publisher) checkSuccessor(ctx context.Context, next Accepted, head Head) (Accepted, error) {
	conflict := &Conflict{Base: next.Version - 1, Current: head.Accepted}
	if head.Version < next.Version {
		return Accepted{}, conflict
	}
	row, err := readAccepted(ctx, p.cfg.Table, next.Version)
	if err != nil {
		return Accepted{}, err
	}
	if row.Hash == next.Hash {
		return row, nil
	}
	conflict.Next = row
	return Accepted{}, conflict
}

// putObject stores a signed bundle under its hash. Since the hash is the name, an
// object that exists already has the same content, for instance one that an earlier
// attempt wrote whose response was lost.
func (p *Publisher) putObject(ctx context.Context, hash ObjectHash, data []byte) error {
	for range p.cfg.Attempts {
		err := p.cfg.Objects.PutNew(ctx, objectPrefix+string(hash), data)
		if err == nil || errors.Is(err, sillobject.ErrExists) {
			return nil
		}
		if err := p.waitBeforeRetry(ctx, err); err != nil {
			break
		}
	}
	return eris.Wrap(ErrNotAccepted, "sillpublish.putObject")
}

// Head returns the head row.
func (p *Publisher) Head(ctx context.Context) (Head, error) {
	head, _, err := readHead(ctx, p.cfg.Table)
	return head, err
}

// Load returns the signed bundle of an accepted version. It returns ErrNoVersion if
// the version was never accepted.
func (p *Publisher) Load(ctx context.Context, v sillid.BundleVersion) (*sillbundle.Signed, error) {
	accepted, err := readAccepted(ctx, p.cfg.Table, v)
	if err != nil {
		return nil, eris.Wrap(err, "sillpublish.Load")
	}
	if accepted.Version == 0 {
		return nil, eris.Wrapf(ErrNoVersion, "sillpublish.Load: version %d", v)
	}
	return loadObject(ctx, p.cfg.Objects, accepted.Hash)
}

func loadObject(ctx context.Context, objects *sillobject.Store, hash ObjectHash) (*sillbundle.Signed, error) {
	data, err := objects.Get(ctx, objectPrefix+string(hash))
	if err != nil {
		return nil, eris.Wrap(err, "sillpublish.loadObject")
	}
	return decodeSigned(data, hash)
}
