package sillsocket

import (
	"net"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// tcpFlagsOffset is the offset of the flags in a TCP header.
	tcpFlagsOffset = 13
	flagSYN        = 0x02
	flagACK        = 0x10
	// keepAll is the number of bytes of a segment that a filter keeps.
	keepAll = 0xffffffff
)

// dropSYN drops the segments that ask for a connection and keeps all others.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jt: 1},
	{Code: unix.BPF_RET | unix.BPF_K, K: keepAll},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
}

// IgnoreNew makes the kernel ignore further attempts to connect to a listener, which must not
// use MPTCP. Connections whose establishment has begun are still established and can be
// accepted. Who tries to connect tries again after a second, and is refused once the listener
// is closed.
func IgnoreNew(l *net.TCPListener) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "sillsocket.IgnoreNew")
	}
	program := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err == nil {
		err = failure
	}
	return eris.Wrap(err, "sillsocket.IgnoreNew")
}
