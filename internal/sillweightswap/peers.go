package sillweightswap

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"sync"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillwire"
)

// Stream is the stream that a response is written to.
type Stream = io.Writer

// Peers holds connections to other agents. A connection closes by itself when no
// exchange has used it for the idle timeout. Its methods are safe for concurrent use.
type Peers struct {
	tls *tls.Config

	mu    sync.Mutex
	conns map[string]*quic.Conn
}

// maxWeightBytes limits the size of the weights that another agent sends.
const maxWeightBytes = 1 << 30

// streamCancelled is the error code with which the requesting side cancels a stream.
const streamCancelled quic.StreamErrorCode = 1

// errNotHeld is returned if the other agent refuses to send the version.
var errNotHeld = errors.New("the agent does not hold the weights: fetch them elsewhere")

// NewPeers returns Peers that dial with the agent's own certificate.
func NewPeers(cfg *tls.Config) *Peers {
	return &Peers{tls: cfg, conns: make(map[string]*quic.Conn)}
}

// open opens a stream to the agent at the address and sends the first message of an
// exchange.
func (p *Peers) open(ctx context.Context, address string, m sillwire.Message) (*quic.Stream, error) {
	conn, err := p.conn(ctx, address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "sillweightswap.open")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	if err := sillwire.Write(stream, m); err != nil {
		stream.CancelRead(streamCancelled)
		return nil, eris.Wrap(err, "sillweightswap.open: write")
	}
	_ = stream.Close()
	return stream, nil
}

func (p *Peers) conn(ctx context.Context, address string) (*quic.Conn, error) {
	p.mu.Lock()
	conn := p.conns[address]
	p.mu.Unlock()
	if conn != nil && conn.Context().Err() == nil {
		return conn, nil
	}
	conn, err := sillwire.Dial(ctx, address, p.tls)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[address]; other != nil && other.Context().Err() == nil {
		_ = conn.CloseWithError(0, "")
		return other, nil
	}
	p.conns[address] = conn
	return conn, nil
}

// Exchange sends a status to the agent at the address and returns that agent's status.
func (p *Peers) Exchange(ctx context.Context, address string, status *sillwire.WeightStatus) (*sillwire.WeightStatus, error) {
	stream, err := p.open(ctx, address, status)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(streamCancelled)
	reply, err := sillwire.Expect[*sillwire.WeightStatus](stream)
	return reply, eris.Wrap(err, "sillweightswap.Exchange")
}

// Fetch reads weights from the agent at the address. It returns errNotHeld if that agent
// refuses to send them.
func (p *Peers) Fetch(ctx context.Context, address string, want *sillwire.FetchWeights) ([]byte, error) {
	stream, err := p.open(ctx, address, want)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(streamCancelled)
	return readWeights(stream)
}

func readWeights(r io.Reader) ([]byte, error) {
	data := []byte{}
	for {
		m, err := sillwire.Read(r)
		if err != nil {
			return nil, eris.Wrap(err, "sillweightswap.readWeights")
		}
		switch m := m.(type) {
		case *sillwire.Chunk:
			data = append(data, m.Data...)
		case *sillwire.Refuse:
			return nil, eris.Wrap(errNotHeld, "sillweightswap.readWeights")
		case *sillwire.Finish:
			if m.Bytes != int64(len(data)) {
				return nil, &sillwire.FrameError{Reason: "the length of the weights differs from the length in the finish message"}
			}
			return data, nil
		default:
			return nil, &sillwire.FrameError{Reason: "the stream of weights holds a message of another type"}
		}
		if len(data) > maxWeightBytes {
			return nil, &sillwire.FrameError{Reason: "the weights exceed the size limit"}
		}
	}
}

// Close ends every connection.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.CloseWithError(0, "")
	}
}
