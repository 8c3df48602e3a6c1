// Package silllink is the gateway's end of the protocol between gateways and
// agents: one Link for each agent of the gateway's subset.
//
// A link keeps a connection open, sends a heartbeat on it every second and closes
// it when no response arrives within sillwire.SilenceLimit, even if the transport
// still reports the connection as alive. Streams of a lost connection fail; Attach
// receives the remaining frames of their runs on the next connection.
package silllink

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillwire"
)

// Config holds the settings and callbacks of a link.
type Config struct {
	// Address is the IP address and port of the agent.
	Address string
	// TLS holds the gateway's certificate and the certificate authority of the agents.
	TLS *tls.Config
	// Ping returns the content of the next heartbeat; the link sets its sequence number.
	Ping func() *sillwire.Ping
	// OnPong is called with the response to each heartbeat, in order, until the link is
	// retired. It must not block.
	OnPong func(l *Link, pong *sillwire.Pong)
	// OnLost is called when a dial fails or a connection is lost, but not on Close or
	// once the link is retired. It must not block.
	OnLost func(l *Link, err error)
	// Log is the logger of the component.
	Log *zap.Logger
}

// Link is the gateway's connection to one agent.
type Link struct {
	cfg      Config
	group    *sillgroup.Group
	conn     atomic.Pointer[quic.Conn]
	lastPong atomic.Pointer[receivedPong]

	// exchanges counts the open exchanges and those that wait for a connection.
	exchanges atomic.Int64
	// retired is true once the link gets no new requests.
	retired atomic.Bool

	// heartbeatNow holds at most one request to send the next heartbeat at once.
	heartbeatNow chan struct{}

	mu sync.Mutex
	// opened is closed when a connection opens, and then replaced.
	opened chan struct{}
}

// The backoff before a reconnect doubles from the first to the second value. A
// successful dial resets it.
const (
	minReconnectBackoff = 100 * time.Millisecond
	maxReconnectBackoff = 3 * time.Second
)

// Application error codes with which the gateway closes a connection.
const (
	codeClosed         quic.ApplicationErrorCode = 0
	codeSilenceTimeout quic.ApplicationErrorCode = 1
)

// streamDropped is the error code with which the gateway stops reading a stream.
const streamDropped quic.StreamErrorCode = 1

// ErrNotConnected is returned if the link has no open connection.
var ErrNotConnected = eris.New("no connection to the agent: choose another target")

// ErrDraining is returned if the agent rejects new requests.
var ErrDraining = eris.New("the agent drains: choose another target")

// New returns a link that dials at once and reconnects until Close or the end of ctx.
func New(ctx context.Context, cfg Config) *Link {
	l := &Link{cfg: cfg, group: sillgroup.New(ctx), opened: make(chan struct{}), heartbeatNow: make(chan struct{}, 1)}
	l.group.Go(l.run)
	return l
}

// Address returns the agent's address.
func (l *Link) Address() string { return l.cfg.Address }

// receivedPong is the response to a heartbeat with the time of its arrival.
type receivedPong struct {
	pong *sillwire.Pong
	at   time.Time
}

// Pong returns the agent's last heartbeat response, or nil if there was none.
func (l *Link) Pong() *sillwire.Pong {
	pong, _ := l.LastPong()
	return pong
}

// LastPong returns the agent's last heartbeat response and the time of its arrival,
// or nil and the zero time if there was none.
func (l *Link) LastPong() (*sillwire.Pong, time.Time) {
	h := l.lastPong.Load()
	if h == nil {
		return nil, time.Time{}
	}
	return h.pong, h.at
}

// SendHeartbeatNow sends the next heartbeat without waiting for the interval to
// pass, for a change that the agent must learn of at once. It does not block.
func (l *Link) SendHeartbeatNow() {
	select {
	case l.heartbeatNow <- struct{}{}:
	default:
	}
}

// Connected returns whether a connection is open.
func (l *Link) Connected() bool { return l.conn.Load() != nil }

// retiredPoll is the time between two checks of the exchanges of a retired link.
const retiredPoll = 500 * time.Millisecond

// Retire closes the link once its exchanges have ended, or ctx ends. It returns then;
// the caller starts no new exchange.
func (l *Link) Retire(ctx context.Context) {
	l.retired.Store(true)
	tick := time.NewTicker(retiredPoll)
	defer tick.Stop()
	// A run whose connection was lost has no exchange for a moment before it attaches
	// again, hence the second check.
	for idle := 0; idle < 2; {
		select {
		case <-ctx.Done():
			idle = 2
		case <-tick.C:
			idle++
			if l.exchanges.Load() > 0 {
				idle = 0
			}
		}
	}
	l.Close()
}

// Close closes the connection and waits for the link's goroutines to end.
func (l *Link) Close() {
	l.group.Stop()
}

func (l *Link) run(ctx context.Context) {
	backoff := minReconnectBackoff
	for ctx.Err() == nil {
		conn, err := sillwire.Dial(ctx, l.cfg.Address, l.cfg.TLS)
		if err == nil {
			backoff = minReconnectBackoff
			err = l.keepOpen(ctx, conn)
		}
		if ctx.Err() != nil {
			return
		}
		if !l.retired.Load() {
			l.cfg.OnLost(l, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxReconnectBackoff)
	}
}

// keepOpen keeps a connection open until it fails, the silence limit passes or ctx ends.
func (l *Link) keepOpen(ctx context.Context, conn *quic.Conn) error {
	code := codeClosed
	defer func() { _ = conn.CloseWithError(code, "") }()
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return eris.Wrap(err, "silllink.keepOpen: open stream")
	}
	l.setConnection(conn)
	defer l.conn.Store(nil)
	err = l.exchangeHeartbeats(ctx, stream)
	if ctx.Err() == nil {
		code = codeSilenceTimeout
	}
	return err
}

func (l *Link) setConnection(conn *quic.Conn) {
	l.conn.Store(conn)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.opened)
	l.opened = make(chan struct{})
}

// exchangeHeartbeats exchanges heartbeats until one fails or ctx ends.
func (l *Link) exchangeHeartbeats(ctx context.Context, stream *quic.Stream) error {
	stop := context.AfterFunc(ctx, func() { stream.CancelRead(streamDropped) })
	defer stop()
	lastPongAt := time.Now()
	for sequence := uint64(1); ; sequence++ {
		ping := l.cfg.Ping()
		ping.Sequence = sequence
		_ = stream.SetDeadline(answerDeadline(lastPongAt, time.Now()))
		if err := sillwire.Write(stream, ping); err != nil {
			return eris.Wrap(err, "silllink.exchangeHeartbeats: ping")
		}
		pong, err := sillwire.Expect[*sillwire.Pong](stream)
		if err != nil {
			return eris.Wrap(err, "silllink.exchangeHeartbeats: pong")
		}
		lastPongAt = time.Now()
		l.lastPong.Store(&receivedPong{pong: pong, at: lastPongAt})
		if !l.retired.Load() {
			l.cfg.OnPong(l, pong)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.heartbeatNow:
		case <-time.After(sillwire.HeartbeatInterval):
		}
	}
}

// answerDeadline returns the deadline for the response to a heartbeat. The silence
// limit counts from the last response. If the gateway itself was delayed, the agent
// still gets one heartbeat interval.
func answerDeadline(lastPongAt, now time.Time) time.Time {
	deadline := lastPongAt.Add(sillwire.SilenceLimit)
	if least := now.Add(sillwire.HeartbeatInterval); deadline.Before(least) {
		return least
	}
	return deadline
}

// awaitConnection returns an open connection, waiting for one until ctx ends.
func (l *Link) awaitConnection(ctx context.Context) (*quic.Conn, error) {
	for {
		l.mu.Lock()
		opened := l.opened
		l.mu.Unlock()
		if conn := l.conn.Load(); conn != nil {
			return conn, nil
		}
		select {
		case <-ctx.Done():
			return nil, ErrNotConnected
		case <-opened:
		}
	}
}
