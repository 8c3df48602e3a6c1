// Package sillloopback reserves loopback addresses for processes that are started with
// fixed addresses, such as those of tests and of sillbench.
package sillloopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// reservationPort is the UDP port that is bound on an IP address to reserve it.
	reservationPort = 7399
	// port is the port of addresses of NewAddress. Both ports are below the range of
	// ephemeral ports (from 32768): sockets that are bound to all addresses, such as those
	// of QUIC clients, take ports of that range on every loopback address.
	port = 7400
	// maxAttempts bounds the attempts to find an IP address that is not reserved.
	maxAttempts = 64
)

// reservations holds the sockets that reserve IP addresses until this process ends.
var reservations struct {
	mu      sync.Mutex
	sockets []net.PacketConn
}

// NewIP returns an address of 127.0.0.0/8 that no other call of any process gets before
// this process ends. Connections that go out from loopback have the address 127.0.0.1, so
// they take no port of it.
func NewIP() (string, error) {
	var last error
	for range maxAttempts {
		ip := fmt.Sprintf("127.%d.%d.%d", 64+rand.IntN(128), rand.IntN(256), 1+rand.IntN(254))
		socket, err := net.ListenPacket("udp4", net.JoinHostPort(ip, strconv.Itoa(reservationPort)))
		if err != nil {
			last = err
			continue
		}
		reservations.mu.Lock()
		reservations.sockets = append(reservations.sockets, socket)
		reservations.mu.Unlock()
		return ip, nil
	}
	return "", eris.Wrap(last, "sillloopback.NewIP")
}

// NewAddress returns a free TCP and UDP address "IP:PORT" on an IP address of its own.
func NewAddress() (string, error) {
	ip, err := NewIP()
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(ip, strconv.Itoa(port)), nil
}
