package main

import (
	"context"
	"encoding/json"
	"os"
	"strings"

	"github.com/integrii/flaggy"
)

// command is one subcommand of the program.
type command struct {
	// sub holds the name, the help text and the flags.
	sub *flaggy.Subcommand
	// run executes the command; nil if the command only groups its children.
	run func(ctx context.Context) error
	// children are the subcommands of this command.
	children []*command
}

// attachChildren adds the command's descendants to the parser.
func (c *command) attachChildren() {
	for _, ch := range c.children {
		c.sub.AttachSubcommand(ch.sub, 1)
		ch.attachChildren()
	}
}

// describe sets the help text of a command. Lists of commands show its first
// paragraph, the command's own help all of it.
func describe(sub *flaggy.Subcommand, help string) {
	first, rest, _ := strings.Cut(help, "\n\n")
	sub.Description = first
	sub.AdditionalHelpAppend = rest
}

// used returns the innermost command that the command line names, or nil.
func (c *command) used() *command {
	if !c.sub.Used {
		return nil
	}
	for _, ch := range c.children {
		if u := ch.used(); u != nil {
			return u
		}
	}
	return c
}

// printReady prints the addresses that a program listens on, as one JSON line.
func printReady(addresses any) error {
	return json.NewEncoder(os.Stdout).Encode(addresses)
}
