package sillsoak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

const (
	dialTimeout = time.Second
	// answerSlack allows for the time that a busy machine adds to the timeout of a request.
	answerSlack = 2 * time.Second
	// redialDelay is the time until a caller tries again after a refused connection.
	redialDelay = 50 * time.Millisecond
	// Every eighth request arrives in two parts, maxGap apart at most.
	splitEvery = 8
	maxGap     = 30 * time.Millisecond
)

// Protocol is how callers and gateways speak.
type Protocol struct {
	// Kinds are the kinds of requests, drawn with equal chances.
	Kinds []Kind
	// Request returns the bytes of a request.
	Request func(id RequestID) string
	// Timeout is the time within which every request is answered.
	Timeout time.Duration
}

// caller sends one request after the other.
type caller struct {
	protocol *Protocol
	balancer *Balancer
	audit    *Audit
	use      Use
	name     string
	random   *rand.Rand
	sent     int
}

// Use is a way of using connections.
type Use struct {
	Name string
	// Callers is the number of callers for each gateway.
	Callers int
	// MinPause and MaxPause bound the time between an answer and the next request.
	MinPause, MaxPause time.Duration
	// Keeps is whether a connection is used until the gateway closes it.
	Keeps bool
}

// largeFleet is the number of gateways above which fewer callers use each of them.
const largeFleet = 8

// Uses returns the usual mix of callers of a number of gateways.
func Uses(gateways int) []Use {
	uses := []Use{
		{Name: "busy", Callers: 8, MaxPause: 10 * time.Millisecond, Keeps: true},
		{Name: "usual", Callers: 12, MaxPause: 200 * time.Millisecond, Keeps: true},
		{Name: "rare", Callers: 12, MinPause: 100 * time.Millisecond, MaxPause: 3 * time.Second, Keeps: true},
		{Name: "fresh", Callers: 2, MaxPause: 50 * time.Millisecond},
	}
	if gateways > largeFleet {
		uses[0].Callers, uses[1].Callers, uses[3].Callers = 0, 4, 1
	}
	return uses
}

// CallersConfig holds what callers need.
type CallersConfig struct {
	Seed     uint64
	Uses     []Use
	Protocol *Protocol
	Balancer *Balancer
	Audit    *Audit
}

// StartCallers starts callers that send requests until the group stops.
func StartCallers(group *sillgroup.Group, cfg CallersConfig) {
	for k, use := range cfg.Uses {
		for i := range use.Callers * len(cfg.Balancer.gateways) {
			c := &caller{
				protocol: cfg.Protocol, balancer: cfg.Balancer, audit: cfg.Audit, use: use, name: fmt.Sprintf("%s-%d", use.Name, i),
				random: rand.New(rand.NewPCG(cfg.Seed, uint64(k)<<32|uint64(i+1))),
			}
			group.Go(c.run)
		}
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		g := c.balancer.pick(c.random)
		conn, err := net.DialTimeout("tcp", g.Callers, dialTimeout)
		if err != nil {
			c.audit.Count("refused connections", 1)
			time.Sleep(redialDelay)
			continue
		}
		c.useConn(ctx, g, conn.(*net.TCPConn))
		_ = conn.Close()
	}
}

// useConn sends requests on a connection until the gateway closes it or ctx ends.
func (c *caller) useConn(ctx context.Context, g *Gateway, conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for number := 1; ctx.Err() == nil; number++ {
		pause := between(c.random, c.use.MinPause, c.use.MaxPause)
		if !c.idle(g, conn, reader, pause) {
			return
		}
		c.sent++
		kind := c.protocol.Kinds[c.random.IntN(len(c.protocol.Kinds))]
		e := &Exchange{ID: newRequestID(kind, c.name, c.sent), Gateway: g, number: number, pause: pause, sent: time.Now()}
		if c.random.IntN(splitEvery) == 0 {
			e.gap = between(c.random, time.Millisecond, maxGap)
		}
		a, err := e.do(conn, reader, c.protocol.Request(e.ID), c.protocol.Timeout+answerSlack)
		c.audit.record(e, a)
		if err != nil || a.last || !c.use.Keeps {
			return
		}
	}
}

// idle waits. It returns false if the gateway closes the connection meanwhile.
func (c *caller) idle(g *Gateway, conn *net.TCPConn, reader *bufio.Reader, d time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(d))
	b, err := reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	if len(b) > 0 {
		c.audit.fault(strayBytes, "%s to %s", g.Name, c.name)
	}
	c.audit.Count("connections closed while idle", 1)
	return false
}
