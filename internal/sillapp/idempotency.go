package sillapp

import (
	"context"
	"errors"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillfleet"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillidempotency"
	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/sillpresence"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// lookUpTimeout bounds the lookup of an earlier attempt at its agent.
	lookUpTimeout = 2 * time.Second
	// settleInterval is the time between two attempts to settle claims.
	settleInterval = time.Second
	// sweepInterval is the time between two pages of the sweep for expired rows.
	sweepInterval = 5 * time.Minute
)

// keeperParts holds the dependencies of the keeper of idempotency keys.
type keeperParts struct {
	fx.In

	ID       sillid.GatewayID
	Table    *silltable.Store
	Objects  *sillobject.Store
	Presence *sillpresence.Presence
	Fleet    *sillfleet.Fleet
}

func newKeeper(p keeperParts) *sillidempotency.Keeper {
	return sillidempotency.NewKeeper(sillidempotency.Config{
		Gateway: p.ID,
		Store:   p.Table,
		Now:     time.Now,
		Nonce:   func() string { return sillid.Fresh("claim") },
		IsAlive: func(id sillid.GatewayID) bool { return isPresent(p.Presence, id) },
		LookUp: func(ctx context.Context, place sillidempotency.Place) (sillidempotency.AttemptState, sillidempotency.Response) {
			return lookUp(ctx, p.Fleet, place)
		},
		PutObject: putIdempotent(p.Objects),
		GetObject: p.Objects.Get,
	})
}

func isPresent(p *sillpresence.Presence, id sillid.GatewayID) bool {
	for _, g := range p.Gateways() {
		if g.ID == id {
			return true
		}
	}
	return false
}

// lookUp asks the agent of an attempt for its state, and for its response if it has
// ended.
func lookUp(ctx context.Context, f *sillfleet.Fleet, place sillidempotency.Place) (sillidempotency.AttemptState, sillidempotency.Response) {
	ctx, cancel := context.WithTimeout(ctx, lookUpTimeout)
	defer cancel()
	link := f.Link(place.Target)
	if link == nil {
		return sillidempotency.Lost, sillidempotency.Response{}
	}
	state, err := link.Lookup(ctx, place.Attempt.Request())
	if err != nil || state.Agent != place.Agent {
		return sillidempotency.Lost, sillidempotency.Response{}
	}
	if state.State == sillwire.RunQueued || state.State == sillwire.RunStarted {
		return sillidempotency.Running, sillidempotency.Response{}
	}
	return collectResponse(ctx, link, place)
}

// collectResponse asks for the complete response of an attempt. An agent that never
// received the attempt refuses it from then on.
func collectResponse(ctx context.Context, link *silllink.Link, place sillidempotency.Place) (sillidempotency.AttemptState, sillidempotency.Response) {
	var response sillidempotency.Response
	x, err := link.Attach(ctx, &sillwire.Attach{RequestID: place.Attempt.Request(), Attempt: place.Attempt, Agent: place.Agent})
	if err != nil {
		return sillidempotency.Lost, response
	}
	defer x.Finish()
	for {
		m, err := x.Next()
		if err != nil {
			return sillidempotency.Lost, response
		}
		switch m := m.(type) {
		case *sillwire.Refuse:
			return stateOfRefusal(m), response
		case *sillwire.Head:
			response.Status = m.Status
			response.ContentType = contentType(m)
		case *sillwire.Chunk:
			response.Body = append(response.Body, m.Data...)
		case *sillwire.Finish:
			if m.Problem != nil || m.Bytes != int64(len(response.Body)) {
				return sillidempotency.Lost, response
			}
			return sillidempotency.Finished, response
		}
	}
}

func stateOfRefusal(m *sillwire.Refuse) sillidempotency.AttemptState {
	if m.Outcome == sillproblem.NotRun {
		return sillidempotency.NotReceived
	}
	return sillidempotency.Lost
}

func contentType(h *sillwire.Head) string {
	for _, f := range h.Header {
		if f.Name == "Content-Type" {
			return f.Value
		}
	}
	return ""
}

// startKeeper settles claims that could not be settled before, and sweeps expired
// ones.
func startKeeper(lc fx.Lifecycle, b background, k *sillidempotency.Keeper, log *zap.Logger) {
	lc.Append(fx.StartHook(func() {
		b.Go(func(ctx context.Context) { settleClaims(ctx, k) })
		b.Go(func(ctx context.Context) { sweepClaims(ctx, k, log.Named("repeat")) })
	}))
}

func settleClaims(ctx context.Context, k *sillidempotency.Keeper) {
	sillgroup.Every(ctx, settleInterval, func(time.Time) { k.Settle(ctx) })
}

func sweepClaims(ctx context.Context, k *sillidempotency.Keeper, log *zap.Logger) {
	after := ""
	sillgroup.Every(ctx, sweepInterval, func(time.Time) {
		next, err := k.Sweep(ctx, after)
		if err != nil && !errors.Is(err, context.Canceled) {
			log.Debug("could not sweep expired claims", zap.Error(err))
			return
		}
		after = next
	})
}
