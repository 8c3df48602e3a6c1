package main

import (
	"context"
	"encoding/json"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillload"
)

func newScenarioCommand() *sillcommand.Command {
	var name string
	sub := flaggy.NewSubcommand("scenario")
	sub.Description = "print a built-in scenario as JSON"
	sub.AddPositionalValue(&name, "NAME", 1, true, "utility or orchard")
	return &sillcommand.Command{Sub: sub, Run: func(context.Context) error {
		s, ok := sillload.Builtin(name)
		if !ok {
			return eris.Errorf("scenario: %q: use utility or orchard", name)
		}
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return eris.Wrap(e.Encode(s), "scenario")
	}}
}
