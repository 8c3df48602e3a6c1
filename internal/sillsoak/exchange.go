package sillsoak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Kind is a kind of request, such as a route.
type Kind string

// RequestID identifies one request of a caller. It begins with its kind.
type RequestID string

func newRequestID(k Kind, caller string, number int) RequestID {
	return RequestID(fmt.Sprintf("%s-%s-%d", k, caller, number))
}

// Kind returns the kind of the request.
func (id RequestID) Kind() Kind {
	kind, _, _ := strings.Cut(string(id), "-")
	return Kind(kind)
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	// last is whether the gateway closes the connection after it.
	last bool
}

// Exchange is one request and what became of it.
type Exchange struct {
	ID      RequestID
	Gateway *Gateway
	// number is the number of the request on its connection, from 1.
	number      int
	sent, ended time.Time
	// pause is how long the connection was idle before.
	pause time.Duration
	// gap, if not 0, is the time between the two halves of the request.
	gap time.Duration
	// unread is whether the gateway surely closed the connection before it had read the
	// request.
	unread bool
	// began is whether a part of an answer came.
	began bool
	err   error
}

func (e *Exchange) String() string {
	return fmt.Sprintf("request %s, number %d of its connection to %s, after a pause of %v, sent at %s in a time of %v, ended %v later: %v",
		e.ID, e.number, e.Gateway.Name, e.pause.Round(time.Microsecond),
		e.sent.UTC().Format(time.RFC3339Nano), e.gap.Round(time.Microsecond), e.ended.Sub(e.sent).Round(time.Microsecond), e.err)
}

// AnsweredAt returns when the whole answer had come, and false if none did.
func (e *Exchange) AnsweredAt() (time.Time, bool) {
	if e.err != nil {
		return time.Time{}, false
	}
	return e.ended, true
}

// do sends the request and reads the answer until the deadline.
func (e *Exchange) do(conn *net.TCPConn, reader *bufio.Reader, request string, timeout time.Duration) (*Answer, error) {
	a, err := e.send(conn, reader, request, timeout)
	e.ended, e.err = time.Now(), err
	if err != nil && !e.began {
		e.unread = e.unread || errors.Is(err, syscall.ECONNRESET) || (errors.Is(err, io.EOF) && wasReset(conn))
	}
	return a, err
}

func (e *Exchange) send(conn *net.TCPConn, reader *bufio.Reader, request string, timeout time.Duration) (*Answer, error) {
	if err := e.write(conn, request); err != nil {
		e.unread = true
		return nil, err
	}
	_ = conn.SetReadDeadline(e.sent.Add(timeout))
	if _, err := reader.Peek(1); err != nil {
		return nil, err
	}
	e.began = true
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(body), last: resp.Close}, err
}

func (e *Exchange) write(conn *net.TCPConn, request string) error {
	if e.gap > 0 {
		half := len(request) / 2
		if _, err := io.WriteString(conn, request[:half]); err != nil {
			return err
		}
		time.Sleep(e.gap)
		request = request[half:]
	}
	_, err := io.WriteString(conn, request)
	return err
}

// resetDelay is the time within which a reset follows the close of a connection whose last
// request was not read.
const resetDelay = 100 * time.Millisecond

// wasReset returns whether a reset follows the end of the gateway's bytes: it had closed
// the connection before it read all that was sent.
func wasReset(conn *net.TCPConn) bool {
	time.Sleep(resetDelay)
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	_ = raw.Control(func(fd uintptr) {
		pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return pending != 0
}
