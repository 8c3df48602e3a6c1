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
	// lookUpLimit bounds the question to an agent about an earlier attempt.
	lookUpLimit = 2 * time.Second
	// settleInterval is the time between two tries to settle claims.
	settleInterval = time.Second
	// expireInterval is the time between two pages of the sweep for expired rows.
	expireInterval = 5 * time.Minute
)

// repeatParts is what the keeper of idempotency keys needs.
type repeatParts struct {
	fx.In

	ID       sillid.GatewayID
	Table    *silltable.Store
	Objects  *sillobject.Store
	Presence *sillpresence.Presence
	Fleet    *sillfleet.Fleet
}

func newKeeper(p repeatParts) *sillidempotency.Keeper {
	return sillidempotency.NewKeeper(sillidempotency.Config{
		Gateway: p.ID,
		Store:   p.Table,
		Now:     time.Now,
		Nonce:   func() string { return sillid.Fresh("claim") },
		IsAlive: func(id sillid.GatewayID) bool { return isPresent(p.Presence, id) },
		LookUp: func(ctx context.Context, place sillidempotency.Place) (sillidempotency.AttemptState, sillidempotency.Response) {
			return lookUp(ctx, p.Fleet, place)
		},
		PutObject: putSame(p.Objects),
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

// lookUp asks the agent of an attempt what became of it.
func lookUp(ctx context.Context, f *sillfleet.Fleet, place sillidempotency.Place) (sillidempotency.AttemptState, sillidempotency.Response) {
	ctx, cancel := context.WithTimeout(ctx, lookUpLimit)
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
	return collectAnswer(ctx, link, place)
}

// collectAnswer asks for the complete response of an attempt. An agent that never
// got the attempt refuses it from then on.
func collectAnswer(ctx context.Context, link *silllink.Link, place sillidempotency.Place) (sillidempotency.AttemptState, sillidempotency.Response) {
	var answer sillidempotency.Response
	x, err := link.Attach(ctx, &sillwire.Attach{RequestID: place.Attempt.Request(), Attempt: place.Attempt, Agent: place.Agent})
	if err != nil {
		return sillidempotency.Lost, answer
	}
	defer x.Finish()
	for {
		m, err := x.Next()
		if err != nil {
			return sillidempotency.Lost, answer
		}
		switch m := m.(type) {
		case *sillwire.Refuse:
			return fateOfRefusal(m), answer
		case *sillwire.Head:
			answer.Status = m.Status
			answer.ContentType = contentType(m)
		case *sillwire.Chunk:
			answer.Body = append(answer.Body, m.Data...)
		case *sillwire.Finish:
			if m.Problem != nil || m.Bytes != int64(len(answer.Body)) {
				return sillidempotency.Lost, answer
			}
			return sillidempotency.Finished, answer
		}
	}
}

func fateOfRefusal(m *sillwire.Refuse) sillidempotency.AttemptState {
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

// startKeeper settles claims that could not be settled and sweeps expired ones.
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
	sillgroup.Every(ctx, expireInterval, func(time.Time) {
		next, err := k.Sweep(ctx, after)
		if err != nil && !errors.Is(err, context.Canceled) {
			log.Debug("could not sweep expired claims", zap.Error(err))
			return
		}
		after = next
	})
}
