package silldirectgateway

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// commitRow writes a row and returns its revision.
func commitRow(t *testing.T, table *sillmemtable.Table, w silltable.Write) silltable.Revision {
	t.Helper()
	revisions, err := table.Store().Commit(t.Context(), silltable.Txn{Writes: []silltable.Write{w}})
	if err != nil {
		t.Fatal(err)
	}
	return revisions[0]
}

func checkMayRun(t *testing.T, mayRun func(silljob.GatewayRun, silltable.Revision) bool, run silljob.GatewayRun, named silltable.Revision, want bool) {
	t.Helper()
	if got := mayRun(run, named); got != want {
		t.Errorf("run %s named at revision %d: may run %t, want %t", run, named, got, want)
	}
}

// TestUnknownOwnerMayRun guards against a gateway that lags taking the jobs of one that has
// just started, since it has not read that gateway's row yet.
func TestUnknownOwnerMayRun(t *testing.T) {
	table := &sillmemtable.Table{}
	v := newTestView()
	m := newTestMembership("self")
	f := newFollowers(v.adapter, tables{store: table.Store(), feed: table.Feed()}, v, m, zap.NewNop())
	row, err := sillcluster.Encode(sillcluster.Member{Instance: "i", Run: "known"})
	if err != nil {
		t.Fatal(err)
	}
	read := commitRow(t, table, row)
	group := sillgroup.New(context.Background())
	t.Cleanup(group.Stop)
	group.Go(f.members.Run)
	for f.members.Revision() < read {
		time.Sleep(time.Millisecond)
	}
	mayRun := f.mayRun(m)
	checkMayRun(t, mayRun, "known", read, true)
	checkMayRun(t, mayRun, "unknown", read, false)
	checkMayRun(t, mayRun, "unknown", read+1000, true)
}

// TestCatalogRevisionNeedsReadableConfig makes the newest configuration unreadable: the one in
// force is not current then.
func TestCatalogRevisionNeedsReadableConfig(t *testing.T) {
	table := &sillmemtable.Table{}
	v := newTestView()
	f := newFollowers(v.adapter, tables{store: table.Store(), feed: table.Feed()}, v, nil, zap.NewNop())
	group := sillgroup.New(context.Background())
	t.Cleanup(group.Stop)
	group.Go(f.operator.Run)
	for _, tc := range []struct {
		config   string
		readable bool
	}{{`{"Version":1}`, true}, {`{`, false}, {`{"Version":2}`, true}} {
		read := commitRow(t, table, silltable.Write{Key: "op/config", Value: []byte(tc.config)})
		for f.operator.Revision() < read {
			time.Sleep(time.Millisecond)
		}
		if got := f.catalogRevision() >= read; got != tc.readable {
			t.Errorf("configuration %s: current %t, want %t", tc.config, got, tc.readable)
		}
	}
}
