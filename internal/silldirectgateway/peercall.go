package silldirectgateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

const (
	// peerFanOut is the number of peers to which a gateway sends what it knows directly.
	// They pass it on, so that all of some hundred gateways have it after three
	// renewals of a row.
	peerFanOut = 8
	// peerCallTimeout is the time limit of sending to a peer.
	peerCallTimeout = 300 * time.Millisecond
	// maxPeerMessageBytes bounds what a peer sends in one call.
	maxPeerMessageBytes = 64 << 10
)

// sendToPeers posts a message to some of the peers, chosen at random, and calls done
// with the success of each call.
func sendToPeers(ctx context.Context, pool *silltransport.Pool, peers []string, path string, body []byte, done func(ok bool)) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	group := sillgroup.New(ctx)
	for _, address := range peers[:min(len(peers), peerFanOut)] {
		group.Go(func(ctx context.Context) { done(postToPeer(ctx, pool, address, path, body)) })
	}
	group.Wait()
}

// postToPeer posts a message to a peer and returns whether the peer accepted it.
func postToPeer(ctx context.Context, pool *silltransport.Pool, address, path string, body []byte) bool {
	resp, err := pool.Send(ctx, address, &silltransport.Request{
		Method: http.MethodPost, RequestURI: path, Host: address, Body: body,
	})
	if err != nil {
		pool.CloseIdle(address)
		return false
	}
	defer resp.Body.Close()
	// The body is read so that the connection can be reused.
	_, err = io.Copy(io.Discard, io.LimitReader(resp.Body, maxPeerMessageBytes))
	return err == nil && resp.StatusCode == http.StatusNoContent
}

// servePeerMessage reads a message of a peer and passes it to merge.
func servePeerMessage(w http.ResponseWriter, r *http.Request, merge func(body []byte) error) error {
	body, err := sillserver.ReadBody(w, r, maxPeerMessageBytes)
	if err == nil {
		err = merge(body)
	}
	if err != nil {
		http.Error(w, "message can't be read", http.StatusBadRequest)
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}
