package silldirectgateway

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// TestFormerRun guards against a process that takes a lease from a process which may still run:
// only one at its own address has surely ended.
func TestFormerRun(t *testing.T) {
	for _, tc := range []struct {
		name, address string
		want          sillcluster.Run
	}{
		{"same address", "127.0.0.1:7000", "run-before"},
		{"instance at another address", "127.0.0.2:7000", ""},
		{"no row", "", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, table := newTestMembership("front-a"), &sillmemtable.Table{}
			m.address = "127.0.0.1:7000"
			if tc.address != "" {
				w, err := sillcluster.Encode(sillcluster.Member{Instance: "front-a", Run: "run-before", Address: tc.address})
				if err != nil {
					t.Fatal(err)
				}
				if _, err := table.Store().Commit(t.Context(), silltable.Txn{Writes: []silltable.Write{w}}); err != nil {
					t.Fatal(err)
				}
			}
			if !m.restoreKnowledge(t.Context(), table.Store()) {
				t.Fatal("the row is not read")
			}
			if got := m.former(t.Context(), time.Minute); got != tc.want {
				t.Errorf("former run %q, want %q", got, tc.want)
			}
		})
	}
	t.Run("row not read", func(t *testing.T) {
		if got := newTestMembership("front-a").former(t.Context(), time.Millisecond); got != "" {
			t.Errorf("former run %q, want none", got)
		}
	})
}
