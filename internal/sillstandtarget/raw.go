package sillstandtarget

import (
	"context"
	"io"
	"net"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// maxRawRequestBytes is what a raw target reads of a request.
const maxRawRequestBytes = 4 << 10

// Raw is a target that sends the same bytes to each connection that has sent something, and
// closes it.
type Raw struct {
	listener net.Listener
	response string
	group    *sillgroup.Group
}

// StartRaw starts a target that sends a response, which need not be a valid one.
func StartRaw(response string) (*Raw, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Raw{listener: listener, response: response, group: sillgroup.New(context.Background())}
	r.group.Go(func(context.Context) { r.serve() })
	return r, nil
}

// Address returns the address of the target.
func (r *Raw) Address() string { return r.listener.Addr().String() }

// Close stops the target.
func (r *Raw) Close() {
	_ = r.listener.Close()
	r.group.Stop()
}

func (r *Raw) serve() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, maxRawRequestBytes))
		_, _ = io.WriteString(conn, r.response)
		_ = conn.Close()
	}
}
