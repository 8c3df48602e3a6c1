package sillsocket

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a TCP connection whose Read tells a connection that was lost from one that its peer
// ended in order, also while a request is still being written.
//
// The kernel reports the loss of a connection, for example by a reset, to one call only. If
// that is a Write, a Read that follows gets io.EOF, as if the peer had ended its stream. Read
// therefore returns the error of the Write in place of io.EOF.
//
// A Read and a Write may run at the same time.
type Conn struct {
	// Conn hides the methods by which net.TCPConn writes beside Write.
	net.Conn
	tcp *net.TCPConn

	// writing is held during a write.
	writing sync.Mutex
	// lost is the first error by which the kernel told a Write that the connection was lost;
	// nil without one.
	lost error
}

// NewConn returns a connection that reads and writes through a TCP connection. Nothing else may
// read or write there.
func NewConn(tcp *net.TCPConn) *Conn { return &Conn{Conn: tcp, tcp: tcp} }

// Read reads from the connection. It returns io.EOF only if the peer has ended its stream. A
// Write that is running then is interrupted, so the connection can only be closed.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		if lost := c.lossOfWrite(); lost != nil {
			return n, lost
		}
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes several buffers at once.
func (c *Conn) WriteBuffers(buffers *net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.tcp)
	c.recordWrite(err)
	return n, err
}

// recordWrite records the outcome of a write. The caller holds c.writing.
func (c *Conn) recordWrite(err error) {
	if c.lost == nil && isLoss(err) {
		c.lost = err
	}
}

// lossOfWrite returns the error by which a Write learned that the connection was lost, or nil.
// It interrupts a Write that is running, which may have learned it just now.
func (c *Conn) lossOfWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.lost
}

// isLoss returns whether the error of a write means that the connection was lost, so that what
// the peer sent may be missing. After the end of the peer's stream, which comes after all that
// it sent, the kernel reports a reset as EPIPE.
func isLoss(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}
