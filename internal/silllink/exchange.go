package silllink

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Exchange is the stream of response frames of one run.
type Exchange struct {
	link   *Link
	stream *quic.Stream
	stop   func() bool
	once   sync.Once
}

// Run sends a request and its body and returns the stream of its response. It does
// not wait for a connection. If the error is ErrNotConnected or ErrDraining, the agent
// received no byte of the request.
func (l *Link) Run(ctx context.Context, run *sillwire.Run, body []byte) (*Exchange, error) {
	conn := l.conn.Load()
	if conn == nil {
		return nil, ErrNotConnected
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, ErrNotConnected
	}
	if pong := l.Pong(); pong != nil && pong.State == sillwire.DrainingState {
		// The choice of the target may be older than its drain.
		l.closeStream(stream)
		return nil, ErrDraining
	}
	run.BodyBytes = int64(len(body))
	x := l.newExchange(ctx, stream)
	buf, err := sillwire.Append(nil, run)
	if err != nil {
		x.Abandon()
		return nil, eris.Wrap(ErrNotConnected, err.Error())
	}
	for remaining := body; len(remaining) > 0; {
		n := min(len(remaining), sillwire.MaxChunkBytes)
		if buf, err = sillwire.Append(buf, &sillwire.Body{Data: remaining[:n]}); err != nil {
			break
		}
		remaining = remaining[n:]
	}
	if err == nil {
		_, err = stream.Write(buf)
	}
	if err != nil {
		x.Abandon()
		return nil, eris.Wrap(err, "silllink.Run")
	}
	return x, nil
}

// Attach requests the remaining frames of a response. It waits for a connection
// until ctx ends.
func (l *Link) Attach(ctx context.Context, attach *sillwire.Attach) (*Exchange, error) {
	l.exchanges.Add(1)
	defer l.exchanges.Add(-1)
	stream, err := l.open(ctx, attach)
	if err != nil {
		return nil, err
	}
	return l.newExchange(ctx, stream), nil
}

func (l *Link) newExchange(ctx context.Context, stream *quic.Stream) *Exchange {
	l.exchanges.Add(1)
	x := &Exchange{link: l, stream: stream}
	x.stop = context.AfterFunc(ctx, x.interrupt)
	return x
}

// interrupt asks the agent to end the run and makes a pending Next return.
func (x *Exchange) interrupt() {
	x.Stop()
	_ = x.stream.SetReadDeadline(time.Now())
}

// Linger reads the remaining frames of a response whose caller has disconnected
// until its last frame or the time limit, and ends the stream. It returns the last
// frame, or nil if it did not arrive.
func (x *Exchange) Linger(limit time.Duration) *sillwire.Finish {
	defer x.Finish()
	_ = x.stream.SetReadDeadline(time.Now().Add(limit))
	for {
		m, err := x.Next()
		if err != nil {
			return nil
		}
		if f, ok := m.(*sillwire.Finish); ok {
			return f
		}
	}
}

// Next receives the next response frame.
func (x *Exchange) Next() (sillwire.Message, error) {
	return sillwire.Read(x.stream)
}

// Stop asks the agent to end the run. The last frame of the response still follows.
func (x *Exchange) Stop() {
	// If the connection is lost, the agent ends the run by itself after a while.
	_ = sillwire.Write(x.stream, &sillwire.Cancel{})
}

// Abandon ends the stream without asking the agent to end the run.
func (x *Exchange) Abandon() {
	x.end(func() {})
}

// Finish ends the stream after the last frame.
func (x *Exchange) Finish() {
	x.end(func() {})
}

func (x *Exchange) end(last func()) {
	x.once.Do(func() {
		defer x.link.exchanges.Add(-1)
		if x.stop != nil {
			x.stop()
		}
		last()
		x.stream.CancelRead(streamDropped)
		_ = x.stream.Close()
	})
}

// open sends a single message on a new stream.
func (l *Link) open(ctx context.Context, m sillwire.Message) (*quic.Stream, error) {
	conn, err := l.awaitConnection(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "silllink.open")
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	if err := sillwire.Write(stream, m); err != nil {
		stream.CancelRead(streamDropped)
		return nil, eris.Wrap(err, "silllink.open: write")
	}
	return stream, nil
}

func (l *Link) closeStream(stream *quic.Stream) {
	stream.CancelRead(streamDropped)
	_ = stream.Close()
}

// Lookup asks the agent for the state of a request.
func (l *Link) Lookup(ctx context.Context, request sillid.RequestID) (*sillwire.LookupAnswer, error) {
	stream, err := l.open(ctx, &sillwire.Lookup{RequestID: request})
	if err != nil {
		return nil, err
	}
	defer l.closeStream(stream)
	answer, err := sillwire.Expect[*sillwire.LookupAnswer](stream)
	return answer, eris.Wrap(err, "silllink.Lookup")
}

// Drain asks the agent to stop or to resume accepting new work.
func (l *Link) Drain(ctx context.Context, drain *sillwire.Drain) (*sillwire.Drained, error) {
	stream, err := l.open(ctx, drain)
	if err != nil {
		return nil, err
	}
	defer l.closeStream(stream)
	answer, err := sillwire.Expect[*sillwire.Drained](stream)
	return answer, eris.Wrap(err, "silllink.Drain")
}

// FetchConfig requests the configuration of the agent and passes the stream to read.
func (l *Link) FetchConfig(ctx context.Context, read func(r io.Reader) error) error {
	stream, err := l.open(ctx, &sillwire.FetchBundle{})
	if err != nil {
		return err
	}
	defer l.closeStream(stream)
	return eris.Wrap(read(stream), "silllink.FetchConfig")
}

// PushConfig calls write with a new stream to send a configuration to the agent.
func (l *Link) PushConfig(ctx context.Context, write func(w io.Writer) error) error {
	conn, err := l.awaitConnection(ctx)
	if err != nil {
		return err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return eris.Wrap(err, "silllink.PushConfig")
	}
	defer l.closeStream(stream)
	return eris.Wrap(write(stream), "silllink.PushConfig")
}

// PushPlan sends a weight plan to the agent.
func (l *Link) PushPlan(ctx context.Context, plan *sillwire.WeightPlan) error {
	stream, err := l.open(ctx, plan)
	if err != nil {
		return err
	}
	defer l.closeStream(stream)
	_ = stream.Close()
	// The agent closes the stream once it has accepted the plan.
	_, err = io.Copy(io.Discard, stream)
	return eris.Wrap(err, "silllink.PushPlan")
}
