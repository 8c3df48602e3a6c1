package silldirectgateway

import (
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillclock"
)

const (
	// maxReadWait is how long a gateway that starts waits for the rows of the other gateways
	// before it accepts callers without them.
	maxReadWait = 2 * time.Second
	// maxReadHold is how long it holds a request that comes before that.
	maxReadHold = 500 * time.Millisecond
)

// Ready returns whether the gateway accepts new callers: it is not stopping, has a
// configuration, and has read what the other gateways tell of targets, such as limits on
// requests, or waited for it long enough.
func (s *Service) Ready() bool {
	waited := sillclock.Boot().Sub(s.startedAt)
	return !s.stopping.Load() && s.Catalog() != nil && (s.members.hasRead() || waited >= maxReadWait)
}

// hasRead returns whether the rows of the gateways were read.
func (m *membership) hasRead() bool {
	select {
	case <-m.read:
		return true
	default:
		return false
	}
}

// holdUntilRead returns a handler that holds requests for a moment until the rows of the
// other gateways were read. Without a configuration, requests are refused at once.
func (s *Service) holdUntilRead(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.members.hasRead() && s.Catalog() != nil {
			s.awaitRead(r)
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Service) awaitRead(r *http.Request) {
	timer := time.NewTimer(maxReadHold)
	defer timer.Stop()
	select {
	case <-s.members.read:
	case <-timer.C:
	case <-r.Context().Done():
	}
}
