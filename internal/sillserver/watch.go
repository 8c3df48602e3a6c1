package sillserver

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

const (
	// watchInterval is the time between two looks for clients that misbehave.
	watchInterval = time.Second
	// logInterval is the least time between two log lines about them.
	logInterval = 10 * time.Second
)

// Metrics are the metrics of a process's listeners.
type Metrics struct {
	closed     *prometheus.CounterVec
	registerer prometheus.Registerer
}

// NewMetrics registers the metrics.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{registerer: r, closed: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabisill_clients_limited_total",
		Help: "Requests refused and connections closed because a client goes beyond a limit",
	}, []string{"listener", "reason"})}
	r.MustRegister(m.closed)
	return m
}

// counts counts the connections of a listener that were closed.
type counts struct {
	name   string
	closed *prometheus.CounterVec

	mu sync.Mutex
	// unlogged holds the numbers since the last log line, and address is the last client.
	unlogged map[string]int
	address  netip.Addr
	loggedAt time.Time
}

func newCounts() *counts { return &counts{unlogged: make(map[string]int)} }

// expose names the listener and adds its metrics.
func (c *counts) expose(m *Metrics, name string, open func() int) {
	c.name = name
	if m == nil {
		return
	}
	c.closed = m.closed
	m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "wasabisill_listener_connections", Help: "Open connections of clients",
		ConstLabels: prometheus.Labels{"listener": name},
	}, func() float64 { return float64(open()) }))
}

// count counts a connection that was closed or a request that was refused.
func (l *listener) count(reason string, client netip.Addr) {
	c := l.counts
	if c.closed != nil {
		c.closed.WithLabelValues(c.name, reason).Inc()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlogged[reason]++
	c.address = client
}

// watch closes the connections of clients that stall, periodically until ctx ends.
func (l *listener) watch(ctx context.Context, log *zap.Logger) {
	sillgroup.Every(ctx, watchInterval, func(now time.Time) {
		l.limits.Budget.Alive(now)
		l.cutFaulty(now)
		if log != nil {
			l.counts.log(now, log)
		}
	})
}

func (l *listener) cutFaulty(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		s := c.state(now)
		if reason := s.fault(&l.limits); reason != "" {
			c.cut(reason)
		}
	}
}

// log writes one line about the connections that were closed since the last one.
func (c *counts) log(now time.Time, log *zap.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unlogged) == 0 || now.Sub(c.loggedAt) < logInterval {
		return
	}
	log.Warn("Clients went beyond limits.", zap.String("listener", c.name), zap.Any("reasons", c.unlogged),
		zap.Stringer("last-client", c.address))
	c.unlogged, c.loggedAt = make(map[string]int), now
}

// evictionBatch is the number of stalled connections that are closed at once, so that a
// flood of new ones costs few looks at all connections.
const evictionBatch = 8

// makeRoom closes connections if there are too many for a new one. It returns false if none
// can be closed. The caller holds the lock.
func (l *listener) makeRoom(from netip.Addr) bool {
	// Those that are closed here count no more: net/http closes them in a moment.
	if n := l.limits.PerAddress; n > 0 && l.byAddress[from] >= n {
		if !l.evict(reasonAddress, func(c *conn) bool { return c.activity.address == from }) {
			return false
		}
	}
	if n := l.limits.Connections; n > 0 && len(l.open) >= n {
		return l.evict(reasonConnections, func(*conn) bool { return true })
	}
	return true
}

// evict closes the connections that progress least among those for which among returns true:
// several of those that stall, or one that is idle. It returns false if there is none.
func (l *listener) evict(reason string, among func(*conn) bool) bool {
	now := time.Now()
	victims := newWorst(evictionBatch)
	for c := range l.open {
		if !among(c) {
			continue
		}
		s := c.state(now)
		if rank, stalled := s.rank(); rank < busyRank {
			victims.add(c, rank, stalled)
		}
	}
	evicted := victims.list()
	for _, c := range evicted {
		l.forget(c)
		c.cut(reason)
	}
	if len(evicted) == 0 {
		l.count(reason, netip.Addr{})
	}
	return len(evicted) > 0
}
