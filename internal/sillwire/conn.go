package sillwire

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
)

// Protocol is the name of the inner protocol in the TLS handshake.
const Protocol = "wasabisill/1"

const (
	// HeartbeatInterval is the time between two pings.
	HeartbeatInterval = time.Second
	// SilenceLimit is the time without a response after which a connection counts as
	// lost.
	SilenceLimit = 3 * HeartbeatInterval
	// handshakeTimeout bounds the time to open a connection.
	handshakeTimeout = 2 * time.Second
	// maxStreams bounds the concurrent exchanges on a connection.
	maxStreams = 4096
	// The receive windows bound the memory that a peer can use.
	streamWindowBytes     = 256 << 10
	connectionWindowBytes = 2 << 20
)

// quicConfig does not enable the keep-alive packets of QUIC, since the heartbeats
// keep a connection open.
func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 SilenceLimit,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindowBytes / 4,
		MaxStreamReceiveWindow:         streamWindowBytes,
		InitialConnectionReceiveWindow: connectionWindowBytes / 4,
		MaxConnectionReceiveWindow:     connectionWindowBytes,
	}
}

// Dial opens a connection to an agent. The configuration holds the gateway's
// certificate and verifies the agent's.
func Dial(ctx context.Context, address string, cfg *tls.Config) (*quic.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := quic.DialAddr(ctx, address, cfg, quicConfig())
	return conn, eris.Wrapf(err, "sillwire.Dial: agent %s; check its address, its certificate and that it runs", address)
}

// Listener accepts connections from gateways and other agents.
type Listener struct {
	*quic.Listener
	transport *quic.Transport
}

// Refuse ends the acceptance of connections. Accept still returns those that were
// established before, and they stay open.
func (l *Listener) Refuse() error {
	return l.Listener.Close()
}

// Close ends the listener. Connections must have been closed before: it ends them
// without telling their peers.
func (l *Listener) Close() error {
	err := l.Listener.Close()
	return errors.Join(err, l.transport.Close(), l.transport.Conn.Close())
}

// Listen accepts connections on an IP address and port. The configuration holds
// the agent's certificate and verifies its peers'. The secret must be the same at
// each start of the agent: the stateless reset key is derived from it, with which
// a restarted agent tells its peers at once that their connections no longer exist.
func Listen(address string, cfg *tls.Config, secret []byte) (*Listener, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "sillwire.Listen: %s", address)
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, eris.Wrapf(err, "sillwire.Listen: %s; choose a free address of this instance", address)
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("wasabisill stateless reset "), secret...)))
	t := &quic.Transport{Conn: conn, StatelessResetKey: &key}
	l, err := t.Listen(cfg, quicConfig())
	if err != nil {
		return nil, errors.Join(eris.Wrap(err, "sillwire.Listen"), conn.Close())
	}
	return &Listener{Listener: l, transport: t}, nil
}
