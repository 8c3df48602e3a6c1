package sillrelay

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/wasabisill/wasabisill/internal/sillserver"
)

// maxCallBytes is the size limit of a peer's call.
const maxCallBytes = 4 << 20

// Handler returns the handler of calls of peers, which forwards them to the service.
// It responds with status 503 at once while the service is unreachable from this
// process, too.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, req *http.Request) {
		var c wireCall
		body, err := sillserver.ReadBody(w, req, maxCallBytes)
		if err == nil {
			err = cbor.Unmarshal(body, &c)
		}
		if err != nil {
			http.Error(w, "call can't be read", http.StatusBadRequest)
			return
		}
		if r.Unreachable() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		a, err := r.direct(req.Context(), c)
		if notServed(err) && req.Context().Err() == nil {
			r.recordFailure(req.Context(), c, err)
		}
		a.Failure = failureOf(err)
		b, err := cbor.Marshal(a)
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		// A write fails only if the peer has disconnected.
		_, _ = w.Write(b)
	})
	return mux
}
