package sillapp

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

func newTable(s *sillsettings.Gateway, r prometheus.Registerer) *silltable.Store {
	calls := newStoreCounter(r, "table")
	return silltable.Dial(silltable.Config{
		BaseURL: s.Platform.URL,
		Timeout: s.Platform.Timeout.Duration(),
		Observe: calls.observe,
	})
}

func newObjects(s *sillsettings.Gateway, r prometheus.Registerer) *sillobject.Store {
	calls := newStoreCounter(r, "objects")
	return sillobject.Dial(sillobject.Config{
		BaseURL: s.Platform.URL,
		Timeout: s.Platform.Timeout.Duration(),
		Observe: calls.observe,
	})
}

func newInstances(s *sillsettings.Gateway, r prometheus.Registerer, log *zap.Logger) *sillinstance.Client {
	skipped := sillmetric.Counter("wasabisill_instance_entries_skipped_total",
		"Entries of the platform's instance list that are not valid, at each read.")
	r.MustRegister(skipped)
	var last atomic.Pointer[string]
	return sillinstance.Dial(sillinstance.Config{
		Call: sillcall.Config{BaseURL: s.Platform.URL, Timeout: s.Platform.Timeout.Duration()},
		OnSkipped: func(err error) {
			skipped.Inc()
			// The list is read about once a second.
			if text := err.Error(); last.Load() == nil || *last.Load() != text {
				last.Store(&text)
				log.Warn("entry of the instance list is not valid; skipping it", silllog.Err(err))
			}
		},
	})
}

// listInstances returns a function that reads the instance list and converts it for
// the membership view.
func listInstances(c *sillinstance.Client) func(ctx context.Context) ([]sillmembership.Instance, error) {
	return func(ctx context.Context) ([]sillmembership.Instance, error) {
		list, err := c.List(ctx)
		if err != nil {
			return nil, err
		}
		instances := make([]sillmembership.Instance, len(list.Instances))
		for i, in := range list.Instances {
			instances[i] = sillmembership.Instance{
				ID:      in.ID,
				Target:  in.Target,
				Pool:    in.Pool,
				Zone:    in.Zone,
				Address: in.AgentAddress,
				Leaving: in.State == sillinstance.Leaving,
			}
		}
		return instances, nil
	}
}

func newPublisher(s *sillsettings.Gateway, t *silltable.Store, o *sillobject.Store, m *sillbundlestore.Metrics) *sillbundlestore.Publisher {
	return sillbundlestore.NewPublisher(sillbundlestore.PublisherConfig{
		Table:     t,
		Objects:   o,
		Operators: sillsettings.OperatorKeys(s.Operators),
		Now:       time.Now,
		Metrics:   m,
	})
}
