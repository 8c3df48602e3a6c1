package silldirectgateway

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// shareInterval is the shortest time between two times that crash evidence is sent to peers.
const shareInterval = 100 * time.Millisecond

// shareCrashes sends the crash evidence to peers whenever it has changed, until ctx ends. Rows
// alone would not do: a gateway may not be able to read them. A process that is stopping renews
// its row no more and writes it then, for processes that start.
func (m *membership) shareCrashes(ctx context.Context, store *silltable.Store) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.evidence.changed:
		}
		m.evidence.send(ctx, m.knownPeers())
		if m.stopping.Load() {
			m.write(ctx, store, true)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(shareInterval):
		}
	}
}
