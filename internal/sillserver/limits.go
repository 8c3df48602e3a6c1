package sillserver

import (
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
)

// Defaults of Limits.
const (
	// DefaultHeaderTimeout is that of the platform's limits.
	DefaultHeaderTimeout = 3 * time.Second
	// DefaultStallTimeout is above the pauses of a link that loses packets.
	DefaultStallTimeout = 10 * time.Second
	// DefaultBodyTimeout is the time limit of a whole body. A body of 32 MB takes 6 s at
	// 45 Mbit/s.
	DefaultBodyTimeout = time.Minute
	// DefaultBodyRate is in bytes a second. Hundreds of clients that share a slow link are
	// above it.
	DefaultBodyRate = 8 << 10
	// DefaultHeaderFields lets a field have 32 bytes in a head of 16 KiB.
	DefaultHeaderFields = 512
	// DefaultPipelined is the number of requests that are answered in a row while the client
	// had sent them before the answers.
	DefaultPipelined = 32
)

// Limits bound what a client may take of a listener; 0 stands for no limit, unless said
// otherwise.
type Limits struct {
	// Connections bounds the open connections, and PerAddress those of one address of
	// clients.
	Connections int
	PerAddress  int
	// HeaderFields bounds the fields of a head; 0 for DefaultHeaderFields.
	HeaderFields int
	// Pipelined bounds the requests that a client sends ahead; 0 for DefaultPipelined.
	Pipelined int
	// StallTimeout is how long a client that sends a body or reads an answer may make no
	// progress; 0 for DefaultStallTimeout.
	StallTimeout time.Duration
	// BodyTimeout is the time limit of a body, and BodyRate the least rate of a body after
	// StallTimeout, in bytes a second; 0 for the defaults.
	BodyTimeout time.Duration
	BodyRate    int64
	// Budget bounds the memory of bodies and of answers that are not read. Listeners of a
	// process share it.
	Budget *sillbudget.Budget
}

func orDefault[T comparable](value, standard T) T {
	var zero T
	if value == zero {
		return standard
	}
	return value
}

func (l Limits) withDefaults() Limits {
	l.HeaderFields = orDefault(l.HeaderFields, DefaultHeaderFields)
	l.Pipelined = orDefault(l.Pipelined, DefaultPipelined)
	l.StallTimeout = orDefault(l.StallTimeout, DefaultStallTimeout)
	l.BodyTimeout = orDefault(l.BodyTimeout, DefaultBodyTimeout)
	l.BodyRate = orDefault(l.BodyRate, DefaultBodyRate)
	return l
}

// HeadLimits bound heads of requests and idle connections. They may change while a server
// runs.
type HeadLimits struct {
	// Timeout is the time limit of a head, Idle how long a connection may be idle, and Bytes
	// the size of a head; 0 for the limits in Config.
	Timeout time.Duration
	Idle    time.Duration
	Bytes   int
}

// SetHeadLimits sets limits below those in Config.
func (s *Server) SetHeadLimits(l HeadLimits) {
	if now := s.listener.head.Load(); now == nil || *now != l {
		s.listener.head.Store(&l)
	}
}

// headLimits holds limits that may change. The pointer is nil until they are set.
type headLimits struct{ atomic.Pointer[HeadLimits] }

// cap returns the earlier of a deadline and the limit of the phase.
func (h *headLimits) cap(p phase, deadline time.Time) time.Time {
	l := h.Load()
	if l == nil || deadline.IsZero() {
		return deadline
	}
	limit := time.Duration(0)
	switch p {
	case phaseIdle:
		limit = l.Idle
	case phaseNew, phaseReading:
		limit = l.Timeout
	case phaseHandling, phaseEnded:
	}
	if limit == 0 {
		return deadline
	}
	if end := time.Now().Add(limit); end.Before(deadline) {
		return end
	}
	return deadline
}

// bytes returns the size limit of a head; 0 for none.
func (h *headLimits) bytes() int {
	if l := h.Load(); l != nil {
		return l.Bytes
	}
	return 0
}
