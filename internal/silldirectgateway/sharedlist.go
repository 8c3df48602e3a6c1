package silldirectgateway

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

// sharedList shares what a gateway knows of targets with the other gateways: through the
// rows of the gateways, and directly while those can't be written.
type sharedList[T any] struct {
	// name is what the list holds, for logs.
	name string
	// path is the HTTP path on which gateways accept the list of a peer.
	path string
	// max bounds the entries of a list that is received.
	max int
	// list returns what to share.
	list func() []T
	// merge adds what a peer shared.
	merge func([]T)
	pool  *silltransport.Pool
	log   *zap.Logger
}

// send sends the list to some of the peers directly.
func (l *sharedList[T]) send(ctx context.Context, peers []string) {
	entries := l.list()
	if len(entries) == 0 {
		return
	}
	body, err := cbor.Marshal(entries)
	if err != nil {
		l.log.Error("List for peers can't be encoded.", zap.String("list", l.name), silllog.Err(err))
		return
	}
	sendToPeers(ctx, l.pool, peers, l.path, body, func(bool) {})
}

// serve accepts the list of a peer.
func (l *sharedList[T]) serve(w http.ResponseWriter, r *http.Request) {
	err := servePeerMessage(w, r, func(body []byte) error {
		var entries []T
		if err := cbor.Unmarshal(body, &entries); err != nil {
			return eris.Wrap(err, "silldirectgateway.sharedList.serve")
		}
		l.merge(entries[:min(len(entries), l.max)])
		return nil
	})
	if err != nil {
		l.log.Warn("List of a peer can't be read.", zap.String("list", l.name), zap.String("peer", r.RemoteAddr), silllog.Err(err))
	}
}
