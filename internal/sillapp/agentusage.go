package sillapp

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillagent"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/sillusage"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// pruneEvery is the number of flushes between two reads of the closed windows.
	pruneEvery = 8
	// lastFlushTimeout bounds the last write of the usage row.
	lastFlushTimeout = 5 * time.Second
)

func newMeter(s *sillsettings.Agent, id sillid.AgentID) *sillusage.Meter {
	return sillusage.NewMeter(sillusage.MeterConfig{
		Agent:        id,
		WindowLength: s.Control.UsageWindow.Duration(),
	})
}

func newAgentTable(s *sillsettings.Agent) *silltable.Store {
	return silltable.Dial(silltable.Config{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Duration()})
}

func newFlusher(s *sillsettings.Agent, t *silltable.Store, m *sillusage.Meter, metrics *sillusage.Metrics, log *zap.Logger) *sillusage.Flusher {
	interval := s.Control.UsageFlush.Duration()
	return sillusage.NewFlusher(sillusage.FlusherConfig{
		Store:        t,
		Meter:        m,
		Now:          time.Now,
		Interval:     interval,
		InitialDelay: rand.N(interval),
		PruneEvery:   pruneEvery,
		NewAgentID:   newAgentID,
		Logger:       log.Named("usage"),
		Metrics:      metrics,
	})
}

// startFlusher writes the meter's sums to the table. The last flush happens after
// the last request has ended, since the traffic stops first.
func startFlusher(lc fx.Lifecycle, f *sillusage.Flusher, log *zap.Logger) {
	g := sillgroup.New(context.Background())
	lc.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if err := f.Register(ctx); err != nil {
				log.Named("usage").Warn("could not register the meter yet", zap.Error(err))
			}
			g.Go(f.Run)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			g.Stop()
			ctx, cancel := context.WithTimeout(ctx, lastFlushTimeout)
			defer cancel()
			if err := f.Flush(ctx, true); err != nil {
				log.Named("usage").Warn("could not write the last usage figures; the gateways hold them", zap.Error(err))
			}
			return nil
		},
	})
}

// meterUse returns a function that counts a run and returns its record as a message
// of the inner protocol.
func meterUse(m *sillusage.Meter) func(use sillagent.Use) *sillwire.UsageRecord {
	return func(use sillagent.Use) *sillwire.UsageRecord {
		r := m.Add(use.EndedAt, use.Organisation, use.Route, sillusage.Figures{
			Requests:            use.Requests,
			PromptTokens:        use.PromptTokens,
			CompletionTokens:    use.CompletionTokens,
			ServiceMilliseconds: use.Service.Milliseconds(),
		})
		return &sillwire.UsageRecord{
			Agent:            r.Agent,
			Sequence:         r.Sequence,
			Organisation:     r.Organisation,
			Route:            r.Route,
			WindowUnixMillis: int64(r.Window),
			PromptTokens:     r.Figures.PromptTokens,
			CompletionTokens: r.Figures.CompletionTokens,
			ServiceMillis:    r.Figures.ServiceMilliseconds,
			Requests:         r.Figures.Requests,
		}
	}
}
