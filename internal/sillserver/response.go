package sillserver

import (
	"net/http"
	"sync/atomic"
	"time"
)

// responseWriter announces that a response is the last one of its connection if the server
// drains when its header is written.
type responseWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
	// body is that of the request; nil if there is none.
	body *body
	conn *conn
	// isLast is whether the connection ends for another reason.
	isLast bool
	// refused is whether the request was refused for lack of memory, and begun whether the
	// header is written.
	refused, begun bool
}

// announceLast has no effect once the header is written.
func (w *responseWriter) announceLast() {
	if w.draining.Load() || w.isLast {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader writes the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	if w.begun {
		w.ResponseWriter.WriteHeader(status)
		return
	}
	if w.body != nil && w.body.short && status >= http.StatusOK {
		w.refuse()
		return
	}
	w.begun = status >= http.StatusOK
	w.announceLast()
	w.ResponseWriter.WriteHeader(status)
}

// refuse answers a request for whose body there is no memory.
func (w *responseWriter) refuse() {
	w.refused, w.begun, w.isLast = true, true, true
	if w.conn != nil {
		w.conn.listener.count(reasonMemory, w.conn.activity.address)
	}
	h := w.Header()
	clear(h)
	h.Set("Retry-After", memoryRetryAfter)
	h.Set("Content-Length", "0")
	w.announceLast()
	w.ResponseWriter.WriteHeader(http.StatusServiceUnavailable)
}

// Write writes a part of the body.
func (w *responseWriter) Write(b []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	if w.refused {
		return len(b), nil
	}
	defer w.awaitRest()()
	if w.conn == nil || len(b) <= writeStep {
		return w.ResponseWriter.Write(b)
	}
	// A long answer takes memory until it is read.
	account := w.conn.activity.account.Load()
	account.Deliver(time.Now(), int64(len(b)))
	defer account.Release(int64(len(b)))
	defer account.Settle()
	return w.ResponseWriter.Write(b)
}

// awaitRest records that net/http may read the rest of a body that the handler has not read
// before it writes. It returns the function that ends it.
func (w *responseWriter) awaitRest() (end func()) {
	if w.conn == nil || w.body == nil || w.body.ended {
		return func() {}
	}
	began := &w.conn.activity.bodyBegan
	before := began.Swap(time.Now().UnixNano())
	return func() { began.Store(before) }
}

// FlushError sends what was written. http.ResponseController calls it.
func (w *responseWriter) FlushError() error {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	defer w.awaitRest()()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer of net/http to http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
