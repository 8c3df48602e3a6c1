package sillagent

import (
	"testing"
	"time"
)

func checkUninformed(t *testing.T, g *gateways, want int) {
	t.Helper()
	if got := g.uninformed(); got != want {
		t.Errorf("%d gateways may still send requests, want %d", got, want)
	}
}

func TestGatewayIsInformedByItsNextHeartbeat(t *testing.T) {
	now := time.Unix(1, 0)
	g := newGateways(func() time.Time { return now })
	h := g.enter()
	g.pinged(h)
	g.sending(h, false)
	checkUninformed(t, g, 1)
	now = now.Add(time.Second)
	g.pinged(h)
	g.sending(h, true)
	checkUninformed(t, g, 1)
	now = now.Add(time.Second)
	g.pinged(h)
	checkUninformed(t, g, 0)
	g.sending(h, true)
	checkUninformed(t, g, 0)
}

func TestGatewayIsNotInformedByAHeartbeatThatOvertakesItsRequests(t *testing.T) {
	now := time.Unix(1, 0)
	g := newGateways(func() time.Time { return now })
	h := g.enter()
	g.sending(h, true)
	now = now.Add(time.Millisecond)
	g.pinged(h)
	g.sending(h, true)
	checkUninformed(t, g, 1)
	now = now.Add(time.Second)
	g.pinged(h)
	checkUninformed(t, g, 0)
}

func TestGatewayIsUninformedAfterTheDrainIsUndone(t *testing.T) {
	now := time.Unix(1, 0)
	g := newGateways(func() time.Time { return now })
	h := g.enter()
	g.sending(h, true)
	now = now.Add(time.Second)
	g.pinged(h)
	g.sending(h, false)
	checkUninformed(t, g, 1)
}

func TestDisconnectedGatewayNeedsNoNews(t *testing.T) {
	g := newGateways(time.Now)
	first, second := g.enter(), g.enter()
	g.leave(first)
	checkUninformed(t, g, 1)
	g.leave(second)
	checkUninformed(t, g, 0)
}
