package sillapp

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/sillfleet"
	"github.com/wasabisill/wasabisill/internal/sillgateway"
	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/sillrollout"
	"github.com/wasabisill/wasabisill/internal/sillsample"
	"github.com/wasabisill/wasabisill/internal/sillscorer"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltrainer"
	"github.com/wasabisill/wasabisill/internal/sillweight"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// rolloutModule provides the trainers' API and the owners of batches.
func rolloutModule() fx.Option {
	return fx.Options(
		fx.Provide(newLedger, newGenerator, newTrainers, sillrollout.NewMetrics),
		fx.Invoke(startOwners),
	)
}

func newLedger(t *silltable.Store, o *sillobject.Store) *sillrollout.Ledger {
	return &sillrollout.Ledger{
		Store:   t,
		Objects: sillrollout.Objects{PutNew: putIdempotent(o), Get: o.Get},
		Now:     time.Now,
	}
}

// putIdempotent writes an object whose name is derived from its content, so that an
// existing object of the name has the same content.
func putIdempotent(o *sillobject.Store) func(ctx context.Context, name string, content []byte) error {
	return func(ctx context.Context, name string, content []byte) error {
		err := o.PutNew(ctx, name, content)
		if errors.Is(err, sillobject.ErrExists) {
			return nil
		}
		return err
	}
}

func newGenerator(c *sillbundlestore.Service, d *silldispatch.Dispatcher) *sillsample.Generator {
	return sillsample.New(sillsample.Config{
		Index:    func() *sillbundle.Index { return c.Snapshot().Index },
		Dispatch: d,
		Now:      time.Now,
	})
}

// trainers adds the trainers' API to the callers' router.
type trainers func(g *sillgateway.Gateway, r *mux.Router)

// trainersParts holds the dependencies of the trainers' API.
type trainersParts struct {
	fx.In

	Ledger    *sillrollout.Ledger
	Config    *sillbundlestore.Service
	Table     *silltable.Store
	Instances *sillinstance.Client
	Plans     *plans
	Log       *zap.Logger
}

func newTrainers(p trainersParts) trainers {
	return func(g *sillgateway.Gateway, r *mux.Router) {
		sub := r.NewRoute().Subrouter()
		sub.Use(mux.MiddlewareFunc(g.Authenticated))
		silltrainer.Register(sub, silltrainer.Config{
			Organisation: sillgateway.OrganisationOf,
			Trainers:     func() []sillbundle.Trainer { return trainersOf(p.Config.Snapshot()) },
			Create:       p.Ledger.Create,
			Next:         p.Ledger.Next,
			Acknowledge:  p.Ledger.Acknowledge,
			Publish: func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) error {
				return publishWeights(ctx, p, model, version)
			},
			Instance: func(r *http.Request) string { return sillgateway.RequestIDOf(r) },
			Logger:   p.Log.Named("trainers"),
		})
	}
}

func trainersOf(s *sillbundlestore.Snapshot) []sillbundle.Trainer {
	if s.Index == nil {
		return nil
	}
	return s.Index.Bundle.Trainers
}

// publishWeights makes a version the current one of a model of the bundle.
func publishWeights(ctx context.Context, p trainersParts, model sillid.ModelID, version sillid.WeightVersion) error {
	index := p.Config.Snapshot().Index
	if index == nil || index.Model(model) == nil {
		return sillproblem.New(sillproblem.NotFound, "model %s is not in the bundle.", model)
	}
	m := index.Model(model)
	list, err := p.Instances.List(ctx)
	if err != nil {
		return sillproblem.New(sillproblem.StoreUnavailable, "the instance list can't be read").WithRetryAfter(time.Second)
	}
	var members []sillweight.Member
	for _, in := range list.Instances {
		if in.Pool == m.Pool && in.State == sillinstance.Live {
			members = append(members, sillweight.Member{Target: in.Target, Address: in.AgentAddress})
		}
	}
	plan, err := sillweight.Publish(ctx, sillweight.PublishConfig{
		Store:   p.Table,
		Model:   model,
		Version: version,
		Members: members,
		Floor:   m.ServingFloor,
	})
	if err == nil {
		p.Plans.publish(m.Pool, plan)
	}
	return err
}

// ownerParts holds the dependencies of the owners of batches.
type ownerParts struct {
	fx.In

	Settings  *sillsettings.Gateway
	Control   controlTasks
	Leases    *leases
	Ledger    *sillrollout.Ledger
	Generator *sillsample.Generator
	Config    *sillbundlestore.Service
	Fleet     *sillfleet.Fleet
	Metrics   *sillrollout.Metrics
	Log       *zap.Logger
}

// startOwners competes for the leases of the shards of batches. A gateway without a
// scorer owns none.
func startOwners(lc fx.Lifecycle, p ownerParts) {
	if p.Settings.Scorer.URL == "" {
		return
	}
	scorer := sillscorer.Dial(sillscorer.Config{
		BaseURL: p.Settings.Scorer.URL,
		Timeout: p.Settings.Scorer.Timeout.Duration(),
	})
	cfg := sillrollout.TaskConfig{
		Ledger:       p.Ledger,
		Generate:     p.Generator.Generate,
		Scorers:      []sillrollout.ScoreFunc{scoreWith(scorer)},
		ScoreRefused: func(err error) bool { return errors.Is(err, sillscorer.ErrRefused) },
		Load:         func(model sillid.ModelID) sillrollout.Load { return loadOf(p, model) },
		Policy:       sillrollout.DefaultPolicy(),
		Metrics:      p.Metrics,
		Logger:       p.Log,
	}
	lc.Append(fx.StartHook(func() {
		for shard := range sillrollout.Shards {
			t := sillrollout.NewTask(cfg, shard)
			p.Leases.start(p.Control, leaseTask{name: sillrollout.LeaseName(shard), run: t.Run})
		}
	}))
}

func scoreWith(s *sillscorer.Scorer) sillrollout.ScoreFunc {
	return func(ctx context.Context, spec sillrollout.Spec, c sillrollout.ScoreCommand) (float64, error) {
		return s.Score(ctx, sillscorer.Request{Sample: c.Sample, Model: spec.Model, Prompt: c.Prompt, Text: c.Text})
	}
}

// loadOf returns the slots, and the free ones, of the model's targets in the subset.
func loadOf(p ownerParts, model sillid.ModelID) sillrollout.Load {
	index := p.Config.Snapshot().Index
	if index == nil || index.Model(model) == nil {
		return sillrollout.Load{}
	}
	load := p.Fleet.PoolLoad(index.Model(model).Pool)
	return sillrollout.Load{Slots: load.Slots, Free: max(0, load.Slots-load.Running)}
}
