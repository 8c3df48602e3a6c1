package silldispatch

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Link sends requests to one agent.
type Link struct {
	// Run sends a request. The errors silllink.ErrNotConnected and ErrDraining mean
	// that the agent received no byte of it.
	Run func(ctx context.Context, run *sillwire.Run, body []byte) (Exchange, error)
	// Attach asks for the rest of a response. It waits for a connection.
	Attach func(ctx context.Context, attach *sillwire.Attach) (Exchange, error)
	// Agent returns the run of the agent in its last heartbeat; empty before the first.
	Agent func() sillid.AgentID
	// HeartbeatNow asks the agent for its state without waiting for the next
	// heartbeat. It does not block.
	HeartbeatNow func()
}

// Exchange is the stream of a response.
type Exchange struct {
	Next func() (sillwire.Message, error)
	// Linger discards the rest of a response whose caller has disconnected, and
	// returns its last frame, or nil.
	Linger func(limit time.Duration) *sillwire.Finish
	// Stop asks the agent to end the run. The last frame still follows.
	Stop func()
	// Finish closes the stream without ending the run.
	Finish func()
}

// FromLink returns the Link that uses a connection.
func FromLink(l *silllink.Link) Link {
	return Link{
		Run: func(ctx context.Context, run *sillwire.Run, body []byte) (Exchange, error) {
			return fromExchange(l.Run(ctx, run, body))
		},
		Attach: func(ctx context.Context, attach *sillwire.Attach) (Exchange, error) {
			return fromExchange(l.Attach(ctx, attach))
		},
		Agent: func() sillid.AgentID {
			if pong := l.Pong(); pong != nil {
				return pong.Agent
			}
			return ""
		},
		HeartbeatNow: l.SendHeartbeatNow,
	}
}

func fromExchange(x *silllink.Exchange, err error) (Exchange, error) {
	if err != nil {
		return Exchange{}, err
	}
	return Exchange{Next: x.Next, Linger: x.Linger, Stop: x.Stop, Finish: x.Finish}, nil
}
