package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillreport"
)

func newAuditCommand() *sillcommand.Command {
	var path string
	sub := flaggy.NewSubcommand("audit")
	sub.Description = "audit the evidence.json of a run once more; exit code 1 if it fails"
	sub.AddPositionalValue(&path, "EVIDENCE", 1, true, "evidence.json of a run")
	return &sillcommand.Command{Sub: sub, Run: func(context.Context) error {
		var e sillreport.Evidence
		if err := sillreport.Read(path, &e); err != nil {
			return err
		}
		a := sillreport.RunAudit(&e)
		if err := sillreport.PrintAudit(os.Stdout, &a); err != nil {
			return err
		}
		if !a.Passed {
			return errAudit
		}
		return nil
	}}
}
