package sillserver

import (
	"net/http"
	"sync/atomic"
)

// responseWriter announces that a response is the last one of its connection if the server
// drains when its header is written.
type responseWriter struct {
	http.ResponseWriter
	draining *atomic.Bool
}

// announceLast has no effect once the header is written.
func (w *responseWriter) announceLast() {
	if w.draining.Load() {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader writes the header of the response.
func (w *responseWriter) WriteHeader(status int) {
	w.announceLast()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.announceLast()
	return w.ResponseWriter.Write(b)
}

// FlushError sends what was written. http.ResponseController calls it.
func (w *responseWriter) FlushError() error {
	w.announceLast()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer of net/http to http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
