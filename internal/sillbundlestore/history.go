package sillbundlestore

import (
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// History returns the last accepted versions, at most limit, newest first.
func (p *Publisher) History(ctx context.Context, limit int) ([]Accepted, error) {
	head, err := p.Head(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "sillpublish.History")
	}
	after := sillid.BundleVersion(0)
	if head.Version > sillid.BundleVersion(limit) {
		after = head.Version - sillid.BundleVersion(limit)
	}
	rows, err := p.cfg.Table.List(ctx, versionPrefix, versionKey(after), limit)
	if err != nil {
		return nil, eris.Wrap(err, "sillpublish.History")
	}
	history := make([]Accepted, len(rows))
	for i, r := range rows {
		if err := json.Unmarshal(r.Value, &history[i]); err != nil {
			return nil, eris.Wrap(err, "sillpublish.History: decode")
		}
	}
	slices.Reverse(history)
	return history, nil
}

// RecordWithdrawal writes a withdrawal to the store unless it is there already. The
// head row counts the withdrawals, so that a poll of the head row detects new ones.
func (p *Publisher) RecordWithdrawal(ctx context.Context, w sillbundle.Withdrawal) error {
	if err := w.Verify(p.cfg.Operators); err != nil {
		return err
	}
	for range p.cfg.Attempts {
		err := p.tryRecord(ctx, w)
		if err == nil {
			return nil
		}
		if err := p.waitBeforeRetry(ctx, err); err != nil {
			break
		}
	}
	return eris.Wrap(ErrNotAccepted, "sillbundlestore.RecordWithdrawal")
}

func (p *Publisher) tryRecord(ctx context.Context, w sillbundle.Withdrawal) error {
	key := withdrawalKey(w.KeyHash)
	row, err := p.cfg.Table.GetOrAbsent(ctx, key)
	if err != nil || row.Revision != silltable.Absent {
		return err
	}
	head, revision, err := readHead(ctx, p.cfg.Table)
	if err != nil {
		return err
	}
	head.Withdrawals++
	_, err = p.cfg.Table.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{
			{Key: HeadKey, Revision: revision},
			{Key: key, Revision: silltable.Absent},
		},
		Writes: []silltable.Write{
			{Key: HeadKey, Value: encodeRow(head)},
			{Key: key, Value: encodeRow(w)},
		},
	})
	return err
}

// Editor makes changes for an operator that start from an accepted version. Its
// function fields call a Publisher or the administration API.
type Editor struct {
	// Current returns the accepted version and its bundle.
	Current func(ctx context.Context) (sillid.BundleVersion, *sillbundle.Bundle, error)
	// Load returns the bundle of an earlier version.
	Load func(ctx context.Context, v sillid.BundleVersion) (*sillbundle.Bundle, error)
	// Accept submits a signed bundle.
	Accept func(ctx context.Context, signed *sillbundle.Signed) (Accepted, error)
	// IsConflict reports whether an error of Accept is a conflict; if nil, a
	// *Conflict is one.
	IsConflict func(err error) bool
	// Sign signs a bundle as the successor of base.
	Sign func(b *sillbundle.Bundle, base sillid.BundleVersion) *sillbundle.Signed
}

// RollBack accepts the content of an earlier version as a new version. It does not
// retry after a conflict: the operator has to decide again.
func (e *Editor) RollBack(ctx context.Context, to sillid.BundleVersion) (Accepted, error) {
	base, _, err := e.Current(ctx)
	if err != nil {
		return Accepted{}, err
	}
	b, err := e.Load(ctx, to)
	if err != nil {
		return Accepted{}, err
	}
	return e.Accept(ctx, e.Sign(b, base))
}

// withdrawAttempts limits how often WithdrawKey retries after conflicts with other
// operators.
const withdrawAttempts = 20

// WithdrawKey accepts a version without the key and retries after each conflict. If
// no organisation has the key, it returns the current version and changes nothing.
func (e *Editor) WithdrawKey(ctx context.Context, hash sillbundle.KeyHash) (Accepted, error) {
	var last error
	for range withdrawAttempts {
		base, b, err := e.Current(ctx)
		if err != nil {
			return Accepted{}, err
		}
		without, found := withoutKey(b, hash)
		if !found {
			return Accepted{Version: base}, nil
		}
		accepted, err := e.Accept(ctx, e.Sign(without, base))
		if !e.isConflict(err) {
			return accepted, err
		}
		last = err
	}
	return Accepted{}, last
}

func (e *Editor) isConflict(err error) bool {
	if e.IsConflict != nil {
		return e.IsConflict(err)
	}
	var conflict *Conflict
	return errors.As(err, &conflict)
}

// withoutKey returns a copy of b without the key, and whether b has the key.
func withoutKey(b *sillbundle.Bundle, hash sillbundle.KeyHash) (*sillbundle.Bundle, bool) {
	c := b.Clone()
	found := false
	for i := range c.Organisations {
		o := &c.Organisations[i]
		before := len(o.Keys)
		o.Keys = slices.DeleteFunc(o.Keys, func(k sillbundle.Key) bool { return k.Hash == hash })
		found = found || len(o.Keys) < before
	}
	return c, found
}

// KeyByLabel returns the hash of an organisation's key and whether it was found.
func KeyByLabel(b *sillbundle.Bundle, organisation sillid.OrganisationID, label string) (sillbundle.KeyHash, bool) {
	for _, o := range b.Organisations {
		for _, k := range o.Keys {
			if o.ID == organisation && k.Label == label {
				return k.Hash, true
			}
		}
	}
	return "", false
}
