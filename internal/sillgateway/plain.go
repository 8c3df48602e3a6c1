package sillgateway

import (
	"net/http"

	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/sillidempotency"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// plainWriter passes the answer of a plain service on.
type plainWriter struct {
	w  http.ResponseWriter
	id sillid.RequestID
	// keep collects the answer for the store of idempotency keys; nil if it is
	// not kept.
	keep *keptAnswer
	// begun is true once the caller has got the status.
	begun bool
}

// keptAnswer collects an answer that is given again to a repeated request.
type keptAnswer struct {
	sillidempotency.Response
	// overflow is true if the body was too large to keep.
	overflow bool
}

// maxKeptBytes bounds the body of a kept answer.
const maxKeptBytes = 1 << 20

func (p *plainWriter) sink() silldispatch.Sink {
	return silldispatch.Sink{
		Head:   p.head,
		Chunk:  p.chunk,
		Tokens: func(*sillwire.Tokens) error { return nil },
	}
}

func (p *plainWriter) head(h *sillwire.Head) error {
	for _, f := range h.Header {
		if http.CanonicalHeaderKey(f.Name) != requestIDHeader {
			p.w.Header().Add(f.Name, f.Value)
		}
	}
	p.begun = true
	p.w.WriteHeader(h.Status)
	if p.keep != nil {
		p.keep.Status = h.Status
		p.keep.ContentType = p.w.Header().Get("Content-Type")
	}
	return nil
}

func (p *plainWriter) chunk(c *sillwire.Chunk) error {
	if p.keep != nil && !p.keep.overflow {
		p.keep.Body = append(p.keep.Body, c.Data...)
		if len(p.keep.Body) > maxKeptBytes {
			p.keep.overflow = true
			p.keep.Body = nil
		}
	}
	_, err := p.w.Write(c.Data)
	return err
}

// fail ends an incomplete response: the connection of a caller that has received a part
// is closed, so that the response does not look complete.
func (p *plainWriter) fail(problem *sillproblem.Problem) {
	if !p.begun {
		problem.Write(p.w, string(p.id))
		return
	}
	panic(http.ErrAbortHandler)
}

// writeKept answers a repeated request with the answer of the first.
func writeKept(w http.ResponseWriter, a *sillidempotency.Response) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.Header().Set("Idempotency-Replayed", "true")
	w.WriteHeader(a.Status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(a.Body)
}
