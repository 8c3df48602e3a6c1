package sillloopback

import (
	"net"
	"testing"
)

// newAddress returns an address and its IP address.
func newAddress(t *testing.T) (address, ip string) {
	t.Helper()
	address, err := NewAddress()
	if err != nil {
		t.Fatal(err)
	}
	ip, _, err = net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	return address, ip
}

// TestAddressesAreReserved guards against two processes that get the same address.
func TestAddressesAreReserved(t *testing.T) {
	seen := map[string]bool{}
	for range 100 {
		_, ip := newAddress(t)
		if seen[ip] {
			t.Fatalf("%s was given twice", ip)
		}
		seen[ip] = true
		if socket, err := net.ListenPacket("udp4", net.JoinHostPort(ip, "7399")); err == nil {
			_ = socket.Close()
			t.Fatalf("%s is not reserved", ip)
		}
	}
}

// TestAddressIsFree guards against addresses that a process can't listen on, also after it
// has listened there before.
func TestAddressIsFree(t *testing.T) {
	address, _ := newAddress(t)
	for range 2 {
		l, err := net.Listen("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = l.Close()
		_ = u.Close()
	}
}

// TestNoPortIsEphemeral guards against ports that sockets bound to all addresses take.
func TestNoPortIsEphemeral(t *testing.T) {
	const firstEphemeral = 32768
	if port >= firstEphemeral || reservationPort >= firstEphemeral {
		t.Errorf("ports %d and %d must be below %d", port, reservationPort, firstEphemeral)
	}
}

// TestOutgoingConnectionsTakeNoPort guards against outgoing connections that take a port of
// a reserved address.
func TestOutgoingConnectionsTakeNoPort(t *testing.T) {
	address, ip := newAddress(t)
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if from := conn.LocalAddr().(*net.TCPAddr).IP.String(); from == ip {
		t.Errorf("a connection to %s comes from %s", address, from)
	}
}
