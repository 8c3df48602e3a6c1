package silldirectgateway

import (
	"fmt"
	"testing"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

func (v *view) checkEvacuated(t *testing.T, want string) {
	t.Helper()
	if got := fmt.Sprint(v.directory.Evacuated()); got != want {
		t.Errorf("evacuated zones %s, want %s", got, want)
	}
}

// TestEvacuationRows checks both ways of reading the table: a read of all rows replaces the
// zones, a change adds or removes one.
func TestEvacuationRows(t *testing.T) {
	v := newTestView()
	v.adapter.EvacuationPrefix = "op/evacuate/"
	row := func(zone string) silltable.Row { return silltable.Row{Key: "op/evacuate/" + zone, Value: []byte("{}")} }
	v.resetOperator([]silltable.Row{row("a"), row("b"), row(""), {Key: "op/config", Value: []byte(`{"Version":1}`)}}, 0)
	v.checkEvacuated(t, "[a b]")
	v.applyOperator([]silltable.Change{{Row: row("a"), Removed: true}, {Row: row("c")}}, 0)
	v.checkEvacuated(t, "[b c]")
	v.applyOperator(nil, 0)
	v.checkEvacuated(t, "[b c]")
	v.resetOperator([]silltable.Row{row("a")}, 0)
	v.checkEvacuated(t, "[a]")
	v.resetOperator(nil, 0)
	v.checkEvacuated(t, "[]")
}
