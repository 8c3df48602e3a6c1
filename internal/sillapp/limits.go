package sillapp

import (
	"math"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

const (
	// heapShare is the share of the process's memory up to which the heap may grow; the rest
	// is for stacks, socket buffers and the program itself.
	heapShare = 0.6
	// bodyShare is the share of the heap that bodies and unread answers may take. They are
	// copied several times on their way to agents and back.
	bodyShare = 0.15
	// defaultBodyBytes is what they may take if the memory is not limited.
	defaultBodyBytes = 256 << 20
)

// listening holds what the listeners of a process share.
type listening struct {
	settings    sillsettings.Limits
	budget      *sillbudget.Budget
	metrics     *sillserver.Metrics
	log         *zap.Logger
	descriptors int
}

func newListening(s sillsettings.Limits, r *prometheus.Registry, log *zap.Logger) *listening {
	l := &listening{settings: s, metrics: sillserver.NewMetrics(r), log: log.Named("listen"), descriptors: descriptorsOf(s)}
	l.budget = sillbudget.New(bodyBytes(s), sillbudget.NewMetrics(r))
	return l
}

func newGatewayListening(s *sillsettings.Gateway, r *prometheus.Registry, log *zap.Logger) *listening {
	return newListening(s.Limits, r, log)
}

func newAgentListening(s *sillsettings.Agent, r *prometheus.Registry, log *zap.Logger) *listening {
	return newListening(s.Limits, r, log)
}

// applyMemoryLimit makes the garbage collector keep to the limit of the settings.
func applyMemoryLimit(s sillsettings.Limits) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB<<20)))
	}
}

// bodyBytes returns what bodies may take: of the memory in the settings, or else of the limit
// in the environment.
func bodyBytes(s sillsettings.Limits) int64 {
	heap := debug.SetMemoryLimit(-1)
	if s.MemoryMB > 0 {
		heap = int64(heapShare * float64(s.MemoryMB<<20))
	}
	if heap == math.MaxInt64 {
		return defaultBodyBytes
	}
	return int64(bodyShare * float64(heap))
}

// descriptorsOf returns the number of descriptors that the process may open.
func descriptorsOf(s sillsettings.Limits) int {
	if s.MaxDescriptors > 0 {
		return s.MaxDescriptors
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// with returns the limits of a listener by the settings.
func (l *listening) with(limits sillserver.Limits) sillserver.Limits {
	limits.Budget = l.budget
	limits.HeaderFields = l.settings.MaxHeaderFields
	limits.Pipelined = l.settings.MaxPipelined
	limits.StallTimeout = l.settings.StallTimeout.Duration()
	limits.BodyTimeout = l.settings.BodyTimeout.Duration()
	return limits
}
