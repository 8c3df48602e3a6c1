package main

import (
	"context"
	"fmt"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillreport"
)

func newPlotCommand() *sillcommand.Command {
	var path, dir string
	format := "svg"
	sub := flaggy.NewSubcommand("plot")
	sub.Description = "draw a report: trainer idle time, staleness, organisations, spend, usage"
	sub.AddPositionalValue(&path, "REPORT", 1, true, "report.json of a run")
	sub.String(&dir, "", "out", "directory of the plots; that of the report if left out")
	sub.String(&format, "", "format", "svg or png")
	return &sillcommand.Command{Sub: sub, Run: func(context.Context) error {
		if dir == "" {
			dir = filepath.Dir(path)
		}
		var r sillreport.Report
		if err := sillreport.Read(path, &r); err != nil {
			return err
		}
		return plot(&r, dir, format)
	}}
}

func plot(r *sillreport.Report, dir, format string) error {
	if format != "svg" && format != "png" {
		return eris.Errorf("plot: format %q: use svg or png", format)
	}
	paths, err := sillreport.Plot(r, dir, format)
	if err != nil {
		return err
	}
	for _, p := range paths {
		fmt.Println(p)
	}
	return nil
}
