package sillrelay

import (
	"errors"
	"strings"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// TestCallsStayInRegion guards against a call with bodies that a gateway of another region
// passes on.
func TestCallsStayInRegion(t *testing.T) {
	table := &sillmemtable.Table{}
	far, near := newGateway(t, table), newGateway(t, table)
	g := newGateway(t, table, far)
	g.setFailure(silltable.ErrUnavailable)
	kept := silltable.KeepInRegion(t.Context())
	if _, err := g.relay.Table().Commit(kept, write("t/a", "1")); !errors.Is(err, silltable.ErrUnavailable) {
		t.Errorf("error %v without a peer in the region", err)
	}
	if n := far.direct.Load(); n > 0 {
		t.Errorf("%d calls passed on by another region", n)
	}
	g.relay.cfg.RegionPeers = func() []string { return []string{strings.TrimPrefix(near.server.URL, "http://")} }
	if _, err := g.relay.Table().Commit(kept, write("t/a", "1")); err != nil {
		t.Error(err)
	}
	if near.direct.Load() != 1 || far.direct.Load() != 0 {
		t.Errorf("%d calls passed on by the region, %d by another one", near.direct.Load(), far.direct.Load())
	}
	if _, err := g.relay.Table().Commit(t.Context(), write("t/b", "1")); err != nil || far.direct.Load() != 1 {
		t.Errorf("other calls: %v, %d passed on", err, far.direct.Load())
	}
}
