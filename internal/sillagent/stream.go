package sillagent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silltls"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// streamDone ends the receiving side of a finished exchange.
	streamDone quic.StreamErrorCode = 0
	// streamMalformed ends a stream that breaks the protocol.
	streamMalformed quic.StreamErrorCode = 2
	// firstFrameLimit bounds the wait for the first frame of an exchange.
	firstFrameLimit = 5 * time.Second
	// maxBodyBytes bounds the body of one request, whatever its route allows.
	maxBodyBytes = 64 << 20
)

var (
	errCancelled = eris.New("the caller is gone")
	errAbandoned = eris.New("the gateway did not come back")
)

// serve handles the streams of one connection until it ends.
func (a *Agent) serve(ctx context.Context, conn *quic.Conn) {
	gateway := silltls.HasRole(conn.ConnectionState().TLS, silltls.GatewayRole)
	g := sillgroup.New(ctx)
	defer g.Stop()
	defer func() { _ = conn.CloseWithError(0, "") }()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		g.Go(func(ctx context.Context) {
			// The streams end with their connection.
			ctx, cancel := context.WithCancel(ctx)
			defer cancel()
			stop := context.AfterFunc(conn.Context(), cancel)
			defer stop()
			a.exchange(ctx, stream, gateway)
		})
	}
}

// exchange handles one stream of a gateway or another agent.
func (a *Agent) exchange(ctx context.Context, stream *quic.Stream, gateway bool) {
	defer func() {
		stream.CancelRead(streamDone)
		_ = stream.Close()
	}()
	_ = stream.SetReadDeadline(time.Now().Add(firstFrameLimit))
	first, err := sillwire.Read(stream)
	if err != nil {
		a.malformed(stream, err)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	answer := a.answerAgent
	if gateway {
		answer = a.answerGateway
	}
	if err := answer(ctx, stream, first); err != nil {
		a.malformed(stream, err)
	}
}

func (a *Agent) answerGateway(ctx context.Context, stream *quic.Stream, first sillwire.Message) error {
	switch m := first.(type) {
	case *sillwire.Ping:
		return a.heartbeats(stream, m)
	case *sillwire.Run:
		return a.runStream(ctx, stream, m)
	case *sillwire.Attach:
		return a.attachStream(ctx, stream, m)
	case *sillwire.Lookup:
		return sillwire.Write(stream, a.lookup(m))
	case *sillwire.Drain:
		return a.drainStream(stream, m)
	case *sillwire.FetchBundle:
		return a.cfg.SendConfig(stream)
	case *sillwire.Bundle:
		return a.cfg.ReceiveConfig(stream, m)
	case *sillwire.WeightPlan:
		return a.cfg.ReceivePlan(m)
	}
	return errNoExchange
}

// errNoExchange refuses a first frame that the peer's role may not send.
var errNoExchange = &sillwire.FrameError{Reason: "the first frame of a stream does not open an exchange of the peer's role"}

// answerAgent handles the messages of other agents, which send weights but no requests.
func (a *Agent) answerAgent(ctx context.Context, stream *quic.Stream, first sillwire.Message) error {
	switch m := first.(type) {
	case *sillwire.FetchWeights:
		return a.cfg.Weights(ctx, m, stream)
	case *sillwire.WeightStatus:
		return sillwire.Write(stream, a.cfg.WeightStatus(m))
	}
	return errNoExchange
}

// malformed logs and counts a stream that broke the protocol.
func (a *Agent) malformed(stream *quic.Stream, err error) {
	var frame *sillwire.FrameError
	if !errors.As(err, &frame) {
		return
	}
	a.cfg.Metrics.MalformedFrames.Inc()
	a.cfg.Log.Warn("closed a stream with a malformed frame", zap.Error(err))
	stream.CancelWrite(streamMalformed)
}

func (a *Agent) heartbeats(stream *quic.Stream, ping *sillwire.Ping) error {
	h := a.gateways.enter()
	defer a.gateways.leave(h)
	for {
		a.gateways.pinged(h)
		a.control.pinged()
		if a.control.gatewaysAlive() {
			a.registry.settleRead()
		}
		pong := a.control.status()
		pong.Sequence = ping.Sequence
		a.cfg.OnPing(ping, &pong)
		a.gateways.sending(h, pong.State == sillwire.DrainingState)
		if err := sillwire.Write(stream, &pong); err != nil {
			return err
		}
		next, err := sillwire.Expect[*sillwire.Ping](stream)
		if err != nil {
			return err
		}
		ping = next
	}
}

func (a *Agent) lookup(m *sillwire.Lookup) *sillwire.LookupAnswer {
	state, attempt := a.registry.lookup(m.RequestID)
	return &sillwire.LookupAnswer{Agent: a.cfg.ID, State: state, Attempt: attempt}
}

func (a *Agent) drainStream(stream *quic.Stream, m *sillwire.Drain) error {
	done := make(chan struct{})
	a.control.await(drainAsked{reason: m.Reason, undo: m.Undo, done: done}, done)
	return sillwire.Write(stream, a.drained())
}

// drained returns how much may still run or come.
func (a *Agent) drained() *sillwire.Drained {
	receiving := int(a.receiving.Load())
	return &sillwire.Drained{Open: a.registry.open() + receiving + a.gateways.uninformed()}
}

// runStream receives a request, runs it and sends its response.
func (a *Agent) runStream(ctx context.Context, stream *quic.Stream, m *sillwire.Run) error {
	a.receiving.Add(1)
	defer a.receiving.Add(-1)
	received := a.cfg.Now()
	body, err := readBody(stream, m.BodyBytes)
	if err != nil {
		return err
	}
	n := &run{
		key:      runKey{request: m.RequestID, attempt: m.Attempt},
		req:      m,
		body:     body,
		answer:   newAnswer(),
		deadline: received.Add(time.Duration(m.TimeoutMillis) * time.Millisecond),
	}
	if p := a.admit(n); p != nil {
		a.cfg.Metrics.Refused.WithLabelValues(string(p.Kind)).Inc()
		m := refusal(p)
		m.Load = a.load()
		return sendRefusal(stream, m)
	}
	return a.sendAnswer(ctx, stream, n, 0)
}

// admit starts the run in a goroutine of its own, which outlives the stream.
func (a *Agent) admit(n *run) *sillproblem.Problem {
	if n.req.Target != a.cfg.Target {
		return sillproblem.New(sillproblem.NoTarget, "the address belongs to another target now")
	}
	if n.req.Agent != "" && n.req.Agent != a.cfg.ID {
		return sillproblem.New(sillproblem.NoTarget, "the agent has started anew")
	}
	if p := a.cfg.Suspects.Check(n.req.Fingerprint); p != nil && !n.req.Class.Owed() {
		return p
	}
	runCtx, cancel := context.WithCancelCause(a.runs)
	n.cancel = cancel
	if p := a.registry.add(n, a.control.draining); p != nil {
		cancel(nil)
		return p
	}
	a.group.Go(func(context.Context) {
		defer cancel(nil)
		a.execute(runCtx, n)
	})
	return nil
}

func readBody(stream *quic.Stream, size int64) ([]byte, error) {
	if size < 0 || size > maxBodyBytes {
		return nil, &sillwire.FrameError{Reason: "the length of the body is out of range"}
	}
	body := make([]byte, 0, size)
	for int64(len(body)) < size {
		part, err := sillwire.Expect[*sillwire.Body](stream)
		if err != nil {
			return nil, err
		}
		body = append(body, part.Data...)
	}
	if int64(len(body)) != size {
		return nil, &sillwire.FrameError{Reason: "the body is longer than its length says"}
	}
	return body, nil
}

// attachStream sends the rest of a response, or reports that the request never ran.
func (a *Agent) attachStream(ctx context.Context, stream *quic.Stream, m *sillwire.Attach) error {
	a.receiving.Add(1)
	defer a.receiving.Add(-1)
	if m.Agent != a.cfg.ID {
		p := sillproblem.New(sillproblem.ConnectionSilent, "the agent restarted").WithOutcome(sillproblem.OutcomeUnknown)
		return sendRefusal(stream, refusal(p))
	}
	n, ok := a.registry.attach(runKey{request: m.RequestID, attempt: m.Attempt})
	if ok {
		return a.sendAnswer(ctx, stream, n, m.From)
	}
	p := sillproblem.New(sillproblem.ConnectionSilent, "the attempt never reached the agent")
	if a.registry.hasStarted(m.RequestID) {
		p = p.WithOutcome(sillproblem.OutcomeUnknown)
	}
	return sendRefusal(stream, refusal(p))
}

// sendRefusal sends a refusal and waits until the gateway has received it.
func sendRefusal(stream *quic.Stream, m *sillwire.Refuse) error {
	if err := sillwire.Write(stream, m); err != nil {
		return err
	}
	_ = stream.Close()
	// The gateway ends its side once it has read the refusal.
	_ = stream.SetReadDeadline(time.Now().Add(sillwire.SilenceLimit))
	_, _ = io.Copy(io.Discard, stream)
	return nil
}

// sendAnswer writes the frames of a response from a position on as they are produced,
// and waits until the gateway has received the last one.
func (a *Agent) sendAnswer(ctx context.Context, stream *quic.Stream, n *run, from int) error {
	defer a.registry.detach(n)
	watch := sillgroup.New(ctx)
	defer watch.Wait()
	defer stream.CancelRead(streamDone)
	taken := make(chan struct{})
	watch.Go(func(context.Context) {
		defer close(taken)
		watchCancel(stream, n)
	})
	for {
		frames, err := n.answer.after(ctx, from)
		if err != nil {
			return nil
		}
		if len(frames) == 0 {
			break
		}
		if _, err := stream.Write(bytes.Join(frames, nil)); err != nil {
			return nil
		}
		from += len(frames)
	}
	_ = stream.Close()
	select {
	case <-taken:
	case <-ctx.Done():
	case <-time.After(sillwire.SilenceLimit):
	}
	return nil
}

// watchCancel ends the run once the gateway reports that its caller has disconnected.
func watchCancel(stream *quic.Stream, n *run) {
	m, err := sillwire.Read(stream)
	if err != nil {
		return
	}
	if _, ok := m.(*sillwire.Cancel); ok {
		n.cancel(errCancelled)
	}
}

func refusal(p *sillproblem.Problem) *sillwire.Refuse {
	return &sillwire.Refuse{
		Kind:             p.Kind,
		Outcome:          p.Outcome,
		Detail:           p.Detail,
		RetryAfterMillis: p.RetryAfter.Milliseconds(),
		AtLimit:          p.AtLimit,
	}
}
