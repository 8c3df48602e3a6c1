package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
)

const versionHelp = "Print the version of the program."

// release is the version of the program, as in CHANGELOG.md.
const release = "0.1.0"

func newVersionCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("version")
	sub.Description = versionHelp
	return &sillcommand.Command{Sub: sub, Run: printVersion}
}

func printVersion(context.Context) error {
	toolchain := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		toolchain = info.GoVersion
	}
	fmt.Printf("wasabisill %s (%s)\n", release, toolchain)
	return nil
}
