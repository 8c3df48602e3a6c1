package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillreport"
)

func newCompareCommand() *sillcommand.Command {
	var first, second string
	sub := flaggy.NewSubcommand("compare")
	sub.Description = "print the figures of two reports and their ratios; both are of one scenario and seed"
	sub.AddPositionalValue(&first, "A", 1, true, "report.json of the first run")
	sub.AddPositionalValue(&second, "B", 2, true, "report.json of the second run")
	return &sillcommand.Command{Sub: sub, Run: func(context.Context) error {
		var a, b sillreport.Report
		if err := sillreport.Read(first, &a); err != nil {
			return err
		}
		if err := sillreport.Read(second, &b); err != nil {
			return err
		}
		ratios, err := sillreport.Compare(&a, &b)
		if err != nil {
			return err
		}
		return sillreport.PrintRatios(os.Stdout, ratios)
	}}
}
