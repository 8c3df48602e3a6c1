package sillagent

import (
	"sync"
	"time"
)

// settleTime is the least time between a heartbeat that tells of a drain and the
// gateway's next one after which its earlier requests count as received: a lost packet
// is sent again within it.
const settleTime = 300 * time.Millisecond

// gateways are the open heartbeat streams, one for each connected gateway.
type gateways struct {
	now func() time.Time

	mu   sync.Mutex
	open map[*heartbeatStream]struct{}
}

// heartbeatStream is what is known of the gateway of one heartbeat stream. The mutex of
// gateways guards the fields.
type heartbeatStream struct {
	// drainSentAt is when a response first told of the drain; zero if none did.
	drainSentAt time.Time
	// informed is whether the gateway has read that response and sends no new requests.
	informed bool
}

func newGateways(now func() time.Time) *gateways {
	return &gateways{now: now, open: make(map[*heartbeatStream]struct{})}
}

// enter adds a heartbeat stream.
func (g *gateways) enter() *heartbeatStream {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &heartbeatStream{}
	g.open[h] = struct{}{}
	return h
}

// leave removes a heartbeat stream that has ended.
func (g *gateways) leave(h *heartbeatStream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, h)
}

// pinged records a heartbeat, which a gateway sends after it has read the response to
// the one before.
func (g *gateways) pinged(h *heartbeatStream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !h.drainSentAt.IsZero() && g.now().Sub(h.drainSentAt) >= settleTime {
		h.informed = true
	}
}

// sending records whether the response that is about to be sent tells of a drain.
func (g *gateways) sending(h *heartbeatStream, draining bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !draining:
		h.drainSentAt = time.Time{}
		h.informed = false
	case h.drainSentAt.IsZero():
		h.drainSentAt = g.now()
	}
}

// uninformed returns the number of gateways that may still send new requests.
func (g *gateways) uninformed() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for h := range g.open {
		if !h.informed {
			count++
		}
	}
	return count
}
