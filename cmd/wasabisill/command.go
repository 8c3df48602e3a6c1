package main

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/integrii/flaggy"
)

// describe sets the help text of a command. Lists of commands show its first
// paragraph, the command's own help all of it.
func describe(sub *flaggy.Subcommand, help string) {
	first, rest, _ := strings.Cut(help, "\n\n")
	sub.Description = first
	sub.AdditionalHelpAppend = rest
}

// printJSON prints a value as indented JSON.
func printJSON(value any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// printReady prints the addresses of a program that is ready, as one JSON line.
func printReady(addresses any) error {
	return json.NewEncoder(os.Stdout).Encode(addresses)
}
