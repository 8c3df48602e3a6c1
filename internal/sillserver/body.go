package sillserver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
)

const (
	// patience is how long a body waits for memory that others give up.
	patience = 2 * time.Second
	// memoryRetryAfter is sent in Retry-After to requests for which there is no memory.
	memoryRetryAfter = "1"
	// progressBytes is what a client sends before its account has progressed: half of what
	// the least rate of a body brings in a second.
	progressBytes = DefaultBodyRate / 2
)

// ErrNoMemory is the error of a body for which the process has no memory. The server answers
// its request with 503, which promises that the request has not run, whatever the handler
// writes. Handlers must not have begun the request before they have read its body.
var ErrNoMemory = errors.New("sillserver: other requests take the memory for bodies")

// body is the body of a request. It takes memory from the budget before it reads, and keeps
// it until the request ends, since handlers keep what they read.
type body struct {
	io.ReadCloser
	conn    *conn
	account *sillbudget.Account
	// unread is what the client has announced and not sent; -1 if unknown.
	unread int64
	// free is the memory that was taken and not yet used.
	free int64
	// fresh is what has arrived since the account last progressed.
	fresh int64
	short bool
	// begun is whether the handler has begun to read, and ended whether it has read to the end.
	begun, ended bool
}

func newBody(c *conn, a *sillbudget.Account, r *http.Request) *body {
	return &body{ReadCloser: r.Body, conn: c, account: a, unread: r.ContentLength}
}

// Read reads a part of the body. Errors: ErrNoMemory and those of net/http.
func (b *body) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return b.ReadCloser.Read(p)
	}
	if !b.begun {
		b.begun = true
		b.conn.activity.bodyBegan.Store(time.Now().UnixNano())
	}
	if b.free == 0 && !b.take() {
		return 0, ErrNoMemory
	}
	if b.unread != 0 {
		p = p[:min(int64(len(p)), b.free)]
	}
	n, err := b.ReadCloser.Read(p)
	b.free -= min(int64(n), b.free)
	if b.unread > 0 {
		b.unread -= min(int64(n), b.unread)
	}
	b.conn.activity.bodyBytes.Add(int64(n))
	if b.fresh += int64(n); b.fresh >= progressBytes {
		b.fresh = 0
		b.account.Progress(time.Now())
	}
	if err != nil {
		b.settle()
	}
	return n, err
}

// take takes memory for the next bytes.
func (b *body) take() bool {
	step := int64(sillbudget.Step)
	if b.unread >= 0 {
		step = min(step, b.unread)
	}
	if b.short || !b.account.Take(step, patience) {
		b.short = true
		return false
	}
	b.free = step
	return true
}

// settle records the end of the body.
func (b *body) settle() {
	b.account.Settle()
	b.account.Release(b.free)
	b.free, b.ended = 0, true
	b.conn.activity.bodyBegan.Store(0)
}

// AccountOf returns the account of a request that a Server passed on, which it closes; nil
// if there is none.
func AccountOf(r *http.Request) *sillbudget.Account {
	if c := connOf(r); c != nil {
		return c.activity.account.Load()
	}
	return nil
}
