package silldirectgateway

import (
	"fmt"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

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

// TestEvacuationOfAnUnknownZone checks that a zone without targets gets a log line that tells it
// from others, since its name may be wrong.
func TestEvacuationOfAnUnknownZone(t *testing.T) {
	core, logs := observer.New(zapcore.WarnLevel)
	v := newTestView()
	v.log, v.adapter.EvacuationPrefix = zap.New(core), "op/evacuate/"
	v.resetTargets([]silltable.Row{{Key: "targets/t", Value: []byte(`{"Zone":"a"}`), Revision: 1}}, 0)
	v.resetOperator([]silltable.Row{{Key: "op/evacuate/a"}, {Key: "op/evacuate/b"}}, 0)
	for _, zone := range []string{"a", "b"} {
		lines := logs.FilterField(zap.String("zone", zone))
		unknown := lines.FilterMessageSnippet("no known targets").Len()
		if lines.Len() != 1 || (unknown == 1) != (zone == "b") {
			t.Errorf("zone %s has %d lines, %d of them about an unknown zone", zone, lines.Len(), unknown)
		}
	}
}
