// Package sillgossip spreads the configuration between gateways and agents.
//
// Every heartbeat carries a digest. A gateway that sees an agent with a newer
// configuration fetches it. An agent that hears of a newer one asks one of its
// gateways to push it, so that it does not come from all of them at once.
// As agents talk to many gateways and gateways to many agents, a version reaches
// every process in a few heartbeats, also while the platform's store is down.
// What arrives is verified like what comes from the store.
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
	// maxDocumentBytes bounds a configuration with its withdrawals.
	maxDocumentBytes = 16 << 20
	// exchangeLimit bounds the transfer of a configuration.
	exchangeLimit = 5 * time.Second
	// askAgain is the time after which an agent that asked one gateway in vain
	// asks another.
	askAgain = 2 * time.Second
)

// document is what two processes exchange.
type document struct {
	// Signed is nil if the sender has no bundle.
	Signed      *sillbundle.Signed      `json:"signed,omitempty"`
	Withdrawals []sillbundle.Withdrawal `json:"withdrawals,omitempty"`
}

// Config holds what a peer needs.
type Config struct {
	// Service keeps the configuration of the process.
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
	// askedAt is when an agent last asked a gateway.
	askedAt time.Time
}

// New returns a peer.
func New(cfg Config) *Peer {
	return &Peer{cfg: cfg}
}

// Digest returns what heartbeats tell of the configuration in force.
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

// hear takes a peer's digest in and returns what is needed from it.
func (p *Peer) hear(d sillwire.ConfigDigest) sillbundlestore.Missing {
	return p.cfg.Service.HandleDigest(sillbundlestore.Digest{
		Version:       d.Version,
		Confirmed:     d.Confirmed,
		AgeMS:         d.AgeMillis,
		Withdrawals:   d.Withdrawals,
		WithdrawalSum: d.WithdrawalSum,
	})
}

// HandleDigest takes the digest of a gateway's heartbeat in, at an agent. It returns
// whether to ask that gateway for its configuration.
func (p *Peer) HandleDigest(d sillwire.ConfigDigest) bool {
	need := p.hear(d)
	if !need.Bundle && !need.Withdrawals {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	if now.Sub(p.askedAt) < askAgain {
		return false
	}
	p.askedAt = now
	return true
}

// HandlePong takes the heartbeat of an agent in, at a gateway: it fetches what the
// gateway lacks and pushes what the agent asks for.
func (p *Peer) HandlePong(g *sillgroup.Group, l *silllink.Link, pong *sillwire.Pong) {
	need := p.hear(pong.Config)
	if (need.Bundle || need.Withdrawals) && p.beginFetch() {
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

// transfer runs one exchange and logs its failure.
func (p *Peer) transfer(ctx context.Context, l *silllink.Link, run func(ctx context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	if err := run(ctx); err != nil && ctx.Err() == nil {
		p.cfg.Log.Warn("could not exchange the configuration", zap.String("agent", l.Address()), zap.Error(err))
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

// ReceivePushed receives a configuration whose first frame was read.
func (p *Peer) ReceivePushed(r io.Reader, first *sillwire.Bundle) error {
	m, err := sillwire.ReadBundleRest(r, first, maxDocumentBytes)
	if err != nil {
		return err
	}
	return p.apply(m)
}

// apply hands a received configuration to the service, which verifies it.
func (p *Peer) apply(m *sillwire.Bundle) error {
	var d document
	if err := json.Unmarshal(m.Data, &d); err != nil {
		return &sillwire.FrameError{Reason: "the configuration is no JSON: " + err.Error()}
	}
	// The withdrawals come first, so that no key of the bundle works that was
	// withdrawn. One that can't be verified does not hold the bundle up.
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
