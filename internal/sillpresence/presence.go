// Package sillpresence maintains the list of running gateways through rows of the
// table service. The list is used to balance subsets, to rank the candidates of
// leases and to show operators which configuration each process has. Correctness
// does not depend on it: an old or partial list only makes the subsets and the
// distribution of leases less even.
package sillpresence

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// prefix is the prefix of the rows' keys.
const prefix = "gateway/"

const (
	// DefaultInterval is the mean time between two writes of a gateway's row.
	DefaultInterval = 30 * time.Second
	// expiryIntervals is the number of intervals after which a row that was not
	// written again counts as expired.
	expiryIntervals = 3
	// firstRefreshInterval is the mean time until the second refresh after the start.
	// It is short because gateways often start together and are missing from the
	// first list.
	firstRefreshInterval = 2 * time.Second
	// versionPollInterval is the time between two checks of this process's bundle version.
	versionPollInterval = 500 * time.Millisecond
	// versionWriteJitter is the time over which gateways spread the writes of a new
	// version: 410 gateways make about a hundred writes per second.
	versionWriteJitter = 4 * time.Second
)

// Gateway is the row that a gateway writes about itself.
type Gateway struct {
	ID      sillid.GatewayID     `json:"id"`
	Zone    sillid.ZoneID        `json:"availability-zone"`
	Version sillid.BundleVersion `json:"bundle-version"`
	// WrittenAt is the time of the write by the writer's clock, in Unix milliseconds.
	WrittenAt int64 `json:"written-at"`
}

// Config configures a Presence.
type Config struct {
	ID    sillid.GatewayID
	Zone  sillid.ZoneID
	Table *silltable.Store
	// Version returns the bundle version in force.
	Version func() sillid.BundleVersion
	// Interval is the mean time between two writes; 0 means DefaultInterval.
	Interval time.Duration
	Log      *zap.Logger
	Now      func() time.Time
}

// Presence writes this gateway's row and reads the rows of all gateways. Its methods
// are safe for concurrent use.
type Presence struct {
	cfg  Config
	list atomic.Pointer[[]Gateway]
}

// New returns a presence with an empty list; Run fills it.
func New(cfg Config) *Presence {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	p := &Presence{cfg: cfg}
	p.list.Store(&[]Gateway{})
	return p
}

// Gateways returns the gateways as last read, including this one. The caller must
// not change the slice.
func (p *Presence) Gateways() []Gateway {
	return *p.list.Load()
}

// Run writes this gateway's row and reads the list at each interval until ctx ends,
// then deletes the row.
func (p *Presence) Run(ctx context.Context) {
	wait := firstRefreshInterval
	for ctx.Err() == nil {
		version := p.cfg.Version()
		if err := p.writeAndRead(ctx); err != nil {
			p.cfg.Log.Debug("Refresh of the list of gateways failed; keeping the last list.", zap.Error(err))
		}
		// The spread keeps gateways that started at the same time from writing at the
		// same time.
		spread := time.Duration(rand.Int64N(int64(wait))) / 2
		p.waitForRefresh(ctx, wait*3/4+spread, version)
		wait = p.cfg.Interval
	}
	p.deleteRow()
}

// waitForRefresh waits for d, or until shortly after the bundle version changes from
// version: operators wait after a roll-out until every gateway reports the new
// version. The jitter bounds the write rate of all gateways together.
func (p *Presence) waitForRefresh(ctx context.Context, d time.Duration, version sillid.BundleVersion) {
	end := p.cfg.Now().Add(d)
	for ctx.Err() == nil && p.cfg.Now().Before(end) {
		if p.cfg.Version() != version {
			sleep(ctx, min(rand.N(versionWriteJitter), end.Sub(p.cfg.Now())))
			return
		}
		sleep(ctx, min(versionPollInterval, end.Sub(p.cfg.Now())))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Refresh reads the list at once, so that an operator sees the current state.
func (p *Presence) Refresh(ctx context.Context) error {
	return p.read(ctx)
}

func (p *Presence) key() string {
	return prefix + string(p.cfg.ID)
}

func (p *Presence) writeAndRead(ctx context.Context) error {
	row := Gateway{
		ID:        p.cfg.ID,
		Zone:      p.cfg.Zone,
		Version:   p.cfg.Version(),
		WrittenAt: p.cfg.Now().UnixMilli(),
	}
	value, err := json.Marshal(row)
	if err != nil {
		return err
	}
	txn := silltable.Txn{Writes: []silltable.Write{{Key: p.key(), Value: value}}}
	if _, err := p.cfg.Table.Commit(ctx, txn); err != nil {
		return err
	}
	return p.read(ctx)
}

func (p *Presence) read(ctx context.Context) error {
	rows, err := p.cfg.Table.ListAll(ctx, prefix)
	if err != nil {
		return err
	}
	oldest := p.cfg.Now().Add(-expiryIntervals * p.cfg.Interval).UnixMilli()
	list := make([]Gateway, 0, len(rows))
	for _, r := range rows {
		var g Gateway
		if json.Unmarshal(r.Value, &g) == nil && g.WrittenAt >= oldest {
			list = append(list, g)
		}
	}
	p.list.Store(&list)
	return nil
}

// deleteTimeout bounds the deletion of the row when Run ends.
const deleteTimeout = time.Second

func (p *Presence) deleteRow() {
	ctx, cancel := context.WithTimeout(context.Background(), deleteTimeout)
	defer cancel()
	// If the deletion fails, readers ignore the row once it has expired.
	_, _ = p.cfg.Table.Commit(ctx, silltable.Txn{Writes: []silltable.Write{{Key: p.key(), Delete: true}}})
}
