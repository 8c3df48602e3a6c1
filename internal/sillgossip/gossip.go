// Package sillgossip distributes the configuration between gateways and agents.
//
// Every heartbeat carries a digest. A gateway that receives a newer digest from an
// agent fetches the configuration from it. An agent that receives a newer digest
// asks one of its gateways to push the configuration; if gateways pushed unasked,
// it would arrive from all of them at once. As every agent exchanges heartbeats
// with many gateways and the reverse, a version reaches every process within a few
// heartbeats, even while the platform's store is unavailable. A received
// configuration is verified in the same way as one from the store.
package sillgossip

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// maxDocumentBytes bounds the size of a configuration with its withdrawals.
	maxDocumentBytes = 16 << 20
	// exchangeTimeout bounds the transfer of one configuration.
	exchangeTimeout = 5 * time.Second
	// askInterval is the least time between two requests of an agent for a push.
	// After it, an agent that received nothing may ask another gateway.
	askInterval = 2 * time.Second
)

// document is the configuration as two processes exchange it.
type document struct {
	// Signed is nil if the sender has no bundle.
	Signed      *sillbundle.Signed      `json:"signed,omitempty"`
	Withdrawals []sillbundle.Withdrawal `json:"withdrawals,omitempty"`
}

// Config configures a Peer.
type Config struct {
	// Service holds the configuration of the process.
	Service *sillbundlestore.Service
	Log     *zap.Logger
	Now     func() time.Time
}

// Peer exchanges configurations. It is safe for concurrent use.
type Peer struct {
	cfg Config

	mu sync.Mutex
	// fetching is true while a gateway fetches from one of its agents.
	fetching bool
	// askedAt is when an agent last asked a gateway for a push.
	askedAt time.Time
}

// New returns a peer.
func New(cfg Config) *Peer {
	return &Peer{cfg: cfg}
}

// Digest returns the digest of the configuration in force, for heartbeats.
func (p *Peer) Digest() sillwire.ConfigDigest {
	d := p.cfg.Service.Digest()
	return sillwire.ConfigDigest{
		Version:       d.Version,
		Confirmed:     d.Confirmed,
		AgeMillis:     d.AgeMS,
		Withdrawals:   d.Withdrawals,
		WithdrawalSum: d.WithdrawalSum,
	}
}

// processDigest passes a peer's digest to the service and returns which parts of the
// peer's configuration this process lacks.
func (p *Peer) processDigest(d sillwire.ConfigDigest) sillbundlestore.Missing {
	return p.cfg.Service.HandleDigest(sillbundlestore.Digest{
		Version:       d.Version,
		Confirmed:     d.Confirmed,
		AgeMS:         d.AgeMillis,
		Withdrawals:   d.Withdrawals,
		WithdrawalSum: d.WithdrawalSum,
	})
}

// HandleDigest processes the digest of a gateway's heartbeat at an agent. It returns
// whether to ask that gateway to push its configuration.
func (p *Peer) HandleDigest(d sillwire.ConfigDigest) bool {
	missing := p.processDigest(d)
	if !missing.Bundle && !missing.Withdrawals {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	if now.Sub(p.askedAt) < askInterval {
		return false
	}
	p.askedAt = now
	return true
}

// HandlePong processes an agent's heartbeat response at a gateway. In the background
// it fetches the agent's configuration if the gateway lacks parts of it, and pushes
// the gateway's configuration if the agent asks for it.
func (p *Peer) HandlePong(g *sillgroup.Group, l *silllink.Link, pong *sillwire.Pong) {
	missing := p.processDigest(pong.Config)
	if (missing.Bundle || missing.Withdrawals) && p.beginFetch() {
		g.Go(func(ctx context.Context) {
			defer p.endFetch()
			p.transfer(ctx, l, func(ctx context.Context) error { return l.FetchConfig(ctx, p.receiveFetched) })
		})
	}
	if pong.AskConfig {
		g.Go(func(ctx context.Context) {
			p.transfer(ctx, l, func(ctx context.Context) error { return l.PushConfig(ctx, p.Send) })
		})
	}
}

// transfer runs one exchange with a time limit and logs its failure.
func (p *Peer) transfer(ctx context.Context, l *silllink.Link, run func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := run(ctx); err != nil && ctx.Err() == nil {
		p.cfg.Log.Warn("Exchange of the configuration failed; a later heartbeat retries it.", zap.String("agent", l.Address()), zap.Error(err))
	}
}

func (p *Peer) beginFetch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fetching {
		return false
	}
	p.fetching = true
	return true
}

func (p *Peer) endFetch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fetching = false
}

// Send writes the configuration in force.
func (p *Peer) Send(w io.Writer) error {
	version, signed := p.cfg.Service.Signed()
	data, err := json.Marshal(document{Signed: signed, Withdrawals: p.cfg.Service.Withdrawals()})
	if err != nil {
		return eris.Wrap(err, "sillgossip.Send")
	}
	return sillwire.WriteBundle(w, version, data)
}

func (p *Peer) receiveFetched(r io.Reader) error {
	m, err := sillwire.ReadBundle(r, maxDocumentBytes)
	if err != nil {
		return err
	}
	return p.apply(m)
}

// ReceivePushed reads and applies a configuration that a gateway pushes; first is
// its first frame, which the caller has already read.
func (p *Peer) ReceivePushed(r io.Reader, first *sillwire.Bundle) error {
	m, err := sillwire.ReadBundleRest(r, first, maxDocumentBytes)
	if err != nil {
		return err
	}
	return p.apply(m)
}

// apply passes a received configuration to the service, which verifies it.
func (p *Peer) apply(m *sillwire.Bundle) error {
	var d document
	if err := json.Unmarshal(m.Data, &d); err != nil {
		return &sillwire.FrameError{Reason: "the configuration is no JSON: " + err.Error()}
	}
	// The withdrawals are applied first, so that a withdrawn key of the bundle is
	// never accepted. A withdrawal that fails verification does not block the bundle.
	withdrawErr := p.cfg.Service.ApplyWithdrawals(d.Withdrawals)
	if d.Signed != nil && m.Version > p.version() {
		if err := p.cfg.Service.Offer(m.Version, d.Signed); err != nil {
			return eris.Wrap(err, "sillgossip.apply: offer")
		}
	}
	return eris.Wrap(withdrawErr, "sillgossip.apply: withdraw")
}

func (p *Peer) version() sillid.BundleVersion {
	return p.cfg.Service.Snapshot().Version
}
