package main

import (
	"net"
	"sync"
	"time"
)

// wideLink is the bandwidth in Mbit/s from which a link is not slowed down.
const wideLink = 1000.0

// linkChunk is the number of bytes that are passed on at once.
const linkChunk = 16 << 10

// pacer spaces bytes in one direction of a link.
type pacer struct {
	bytesPerSecond float64
	mu             sync.Mutex
	free           time.Time
}

// await waits until n bytes have passed the link.
func (p *pacer) await(n int) {
	p.mu.Lock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(n) / p.bytesPerSecond * float64(time.Second)))
	wait := p.free.Sub(now)
	p.mu.Unlock()
	time.Sleep(wait)
}

// linkListener accepts connections that share one link.
type linkListener struct {
	net.Listener
	up, down *pacer
}

func newLinkListener(l net.Listener, mbps float64) *linkListener {
	const bytesPerMbit = 1e6 / 8
	return &linkListener{Listener: l, up: &pacer{bytesPerSecond: mbps * bytesPerMbit}, down: &pacer{bytesPerSecond: mbps * bytesPerMbit}}
}

// Accept returns the next connection.
func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: c, link: l}, nil
}

type linkConn struct {
	net.Conn
	link *linkListener
}

// Read reads bytes once they have passed the link.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), linkChunk)])
	if n > 0 {
		c.link.up.await(n)
	}
	return n, err
}

// Write writes bytes as they pass the link.
func (c *linkConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		chunk := p[written:min(len(p), written+linkChunk)]
		c.link.down.await(len(chunk))
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
