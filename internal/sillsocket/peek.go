// Package sillsocket tells what the kernel knows of TCP connections.
package sillsocket

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Input is what a connection has to read.
type Input int

const (
	// Unknown means that the kernel can't tell: the connection is closed or has failed.
	Unknown Input = iota
	// Empty means that the peer has sent nothing that is unread.
	Empty
	// Unread means that bytes wait to be read.
	Unread
	// Ended means that the peer has closed its side and nothing is unread.
	Ended
)

// Peek returns what a connection has to read. It reads nothing, doesn't block, and
// ignores deadlines.
func Peek(c *net.TCPConn) Input {
	raw, err := c.SyscallConn()
	if err != nil {
		return Unknown
	}
	input := Unknown
	err = raw.Control(func(fd uintptr) { input = peek(int(fd)) })
	if err != nil {
		return Unknown
	}
	return input
}

func peek(fd int) Input {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN):
		return Empty
	case err != nil:
		return Unknown
	case n == 0:
		return Ended
	}
	return Unread
}

// HasPending returns whether a connection waits to be accepted. It accepts nothing,
// doesn't block, and ignores deadlines.
func HasPending(l *net.TCPListener) bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		pending = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return err == nil && pending
}
