package sillstandtarget

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// maxRawRequestBytes is what a raw target reads of a request.
const maxRawRequestBytes = 4 << 10

// Raw is a target whose answers are written byte by byte, so that they need not be valid.
type Raw struct {
	listener net.Listener
	group    *sillgroup.Group
}

// StartRaw starts a target that sends a response to each connection that has sent
// something, and closes it.
func StartRaw(response string) (*Raw, error) {
	return start(func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, maxRawRequestBytes))
		_, _ = io.WriteString(conn, response)
	})
}

// StartEarly starts a target that calls respond once the head of a request has arrived, while
// its body may still be on its way. If respond returns true, the target reads the body and the
// next request; otherwise it closes the connection.
func StartEarly(respond func(conn *net.TCPConn, r *http.Request) bool) (*Raw, error) {
	return start(func(conn *net.TCPConn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil || !respond(conn, r) {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
		}
	})
}

// start starts a target that calls serve for each connection and closes it afterwards.
func start(serve func(conn *net.TCPConn)) (*Raw, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Raw{listener: listener, group: sillgroup.New(context.Background())}
	r.group.Go(func(ctx context.Context) { r.accept(ctx, serve) })
	return r, nil
}

// Address returns the address of the target.
func (r *Raw) Address() string { return r.listener.Addr().String() }

// Close stops the target.
func (r *Raw) Close() {
	_ = r.listener.Close()
	r.group.Stop()
}

func (r *Raw) accept(ctx context.Context, serve func(conn *net.TCPConn)) {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.group.Go(func(context.Context) {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			defer stop()
			defer func() { _ = conn.Close() }()
			serve(conn.(*net.TCPConn))
		})
	}
}

// UploadBytes is more than the buffers of a connection take while its target reads nothing, so
// that a request with such a body is still being written when an early answer comes.
const UploadBytes = 4 << 20

// arrivalTime is how long an early answer gets to arrive before its connection ends.
const arrivalTime = time.Millisecond

// AnswerEarly writes an answer, and ends the connection once the answer has had time to arrive.
// end is Reset or EndInOrder.
func AnswerEarly(conn *net.TCPConn, answer string, end func(conn *net.TCPConn)) {
	_, _ = io.WriteString(conn, answer)
	time.Sleep(arrivalTime)
	end(conn)
}

// EndInOrder ends what a connection sends. The connection can still be read.
func EndInOrder(conn *net.TCPConn) { _ = conn.CloseWrite() }

// Reset closes a connection with a reset: what its peer has not read yet arrives, and after it
// an error in place of the end.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
