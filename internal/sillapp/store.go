package sillapp

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// storeCounter counts the calls to one part of the platform's store.
type storeCounter struct {
	calls *prometheus.CounterVec
}

func newStoreCounter(r prometheus.Registerer, part string) *storeCounter {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name:        "wasabisill_store_calls_total",
		Help:        "Calls of the platform's store, by part, call and result.",
		ConstLabels: prometheus.Labels{"part": part},
	}, []string{"call", "result"})
	r.MustRegister(c)
	return &storeCounter{calls: c}
}

func (c *storeCounter) observe(call string, err error) {
	c.calls.WithLabelValues(call, storeResult(err)).Inc()
}

// storeResult returns the result of a call to the store as the label "result" has it.
func storeResult(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, silltable.ErrNotFound), errors.Is(err, sillobject.ErrNotFound):
		return "absent"
	case errors.Is(err, silltable.ErrConflict), errors.Is(err, sillobject.ErrExists):
		return "conflict"
	case errors.Is(err, silltable.ErrUnavailable), errors.Is(err, sillobject.ErrUnavailable):
		return "unavailable"
	}
	return "unknown"
}
