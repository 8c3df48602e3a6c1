package sillrelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbody"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

// callPeers makes a call through a peer, and through another one if the first can't
// serve it.
func (r *Relay) callPeers(ctx context.Context, c wireCall) (wireResult, error) {
	body, err := cbor.Marshal(c)
	if err != nil {
		return wireResult{}, eris.Wrap(err, "sillrelay.callPeers")
	}
	failure := silltable.ErrUnavailable
	for _, address := range choosePeers(r.peersFor(ctx)) {
		a, err := r.callPeer(ctx, address, c, body)
		r.count("peer", err)
		if !errors.Is(err, silltable.ErrUnavailable) {
			return a, err
		}
		failure = err
	}
	return wireResult{}, failure
}

// peersFor returns the peers that may pass on a call.
func (r *Relay) peersFor(ctx context.Context) []string {
	switch {
	case !silltable.IsKeptInRegion(ctx):
		return r.cfg.Peers()
	case r.cfg.RegionPeers == nil:
		return nil
	}
	return r.cfg.RegionPeers()
}

// maxPeersPerCall is the number of peers that one call is tried with.
const maxPeersPerCall = 2

// choosePeers returns the peers to call: the first two in random order, so that the
// first doesn't get all calls.
func choosePeers(peers []string) []string {
	if len(peers) > maxPeersPerCall {
		peers = peers[:maxPeersPerCall+1]
	}
	if len(peers) > 1 && rand.IntN(2) == 1 {
		peers[0], peers[1] = peers[1], peers[0]
	}
	return peers[:min(len(peers), maxPeersPerCall)]
}

func (r *Relay) callPeer(ctx context.Context, address string, c wireCall, body []byte) (wireResult, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeLimit(&c))
	defer cancel()
	resp, err := r.cfg.Pool.Send(ctx, address, &silltransport.Request{
		Method: http.MethodPost, RequestURI: path, Host: address, Body: body,
	})
	if err != nil {
		r.cfg.Pool.CloseIdle(address)
		return wireResult{}, transportFailure(c, err)
	}
	defer resp.Body.Close()
	b, err := sillbody.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return wireResult{}, transportFailure(c, err)
	}
	if resp.StatusCode != http.StatusOK {
		return wireResult{}, eris.Wrapf(silltable.ErrUnavailable, "sillrelay.callPeer: peer responded with status %d", resp.StatusCode)
	}
	var a wireResult
	if err := cbor.Unmarshal(b, &a); err != nil {
		return wireResult{}, transportFailure(c, err)
	}
	return a, errorOf(a.Failure)
}

// transportFailure returns the error of a call without a usable response: the outcome
// of a commit that may have been sent is unknown.
func transportFailure(c wireCall, err error) error {
	if c.Call == callCommit && !silltransport.NotSent(err) {
		return eris.Wrapf(silltable.ErrUnknown, "sillrelay.transportFailure: %v", err)
	}
	return eris.Wrapf(silltable.ErrUnavailable, "sillrelay.transportFailure: %v", err)
}
