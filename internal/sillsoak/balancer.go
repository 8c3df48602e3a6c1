package sillsoak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

const (
	// checkInterval is the time between two readiness checks of a gateway.
	checkInterval = time.Second
	// maxMisses is the number of failed checks in a row after which a gateway gets no new
	// connections.
	maxMisses = 2
)

// Gateway is where a gateway is reached.
type Gateway struct {
	Name string
	// Callers is the address for callers, Ready the URL of its readiness.
	Callers, Ready string
}

// checkClient sends readiness checks.
var checkClient = &http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}

// Check returns whether the gateway answers, and whether it accepts new callers.
func (g *Gateway) Check() (answers, ready bool) {
	resp, err := checkClient.Get(g.Ready)
	if err != nil {
		return false, false
	}
	_ = resp.Body.Close()
	return true, resp.StatusCode == http.StatusOK
}

// Balancer chooses gateways for new connections by checks of their readiness. Open
// connections stay where they are.
type Balancer struct {
	gateways []*Gateway
	// inRotation holds whether each gateway gets new connections.
	inRotation []atomic.Bool
}

// NewBalancer returns a balancer with all gateways in rotation.
func NewBalancer(gateways []*Gateway) *Balancer {
	b := &Balancer{gateways: gateways, inRotation: make([]atomic.Bool, len(gateways))}
	for i := range b.inRotation {
		b.inRotation[i].Store(true)
	}
	return b
}

// Start checks the gateways until the group stops.
func (b *Balancer) Start(group *sillgroup.Group) {
	for i := range b.gateways {
		group.Go(func(ctx context.Context) { b.check(ctx, i) })
	}
}

func (b *Balancer) check(ctx context.Context, i int) {
	misses := 0
	sillgroup.Every(ctx, checkInterval, func(time.Time) {
		misses++
		if _, ready := b.gateways[i].Check(); ready {
			misses = 0
		}
		b.inRotation[i].Store(misses < maxMisses)
	})
}

// pick returns a gateway in rotation, or any if fewer than half are.
func (b *Balancer) pick(r *rand.Rand) *Gateway {
	var list []*Gateway
	for i, g := range b.gateways {
		if b.inRotation[i].Load() {
			list = append(list, g)
		}
	}
	if 2*len(list) < len(b.gateways) {
		list = b.gateways
	}
	return list[r.IntN(len(list))]
}
