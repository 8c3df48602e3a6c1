// Package sillcommand runs the subcommands of the programs.
package sillcommand

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// Exit codes of every program.
const (
	ExitDone   = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// ExitError is an error with the program's exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the text of the wrapped error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// Command is one subcommand of a program.
type Command struct {
	// Sub holds the name, the help text and the flags.
	Sub *flaggy.Subcommand
	// Run executes the command; nil if the command only groups its children.
	Run func(ctx context.Context) error
	// Children are the subcommands of this command.
	Children []*Command
}

// AttachChildren adds the command's descendants to the parser.
func (c *Command) AttachChildren() {
	for _, ch := range c.Children {
		c.Sub.AttachSubcommand(ch.Sub, 1)
		ch.AttachChildren()
	}
}

// Used returns the innermost command that the command line names, or nil.
func (c *Command) Used() *Command {
	if !c.Sub.Used {
		return nil
	}
	for _, ch := range c.Children {
		if u := ch.Used(); u != nil {
			return u
		}
	}
	return c
}

// Main runs the command that the command line names and returns the exit code of the
// program. SIGTERM and an interrupt end the context of the command.
func Main(name, help string, commands []*Command) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	flaggy.SetName(name)
	flaggy.SetDescription(help)
	for _, c := range commands {
		flaggy.AttachSubcommand(c.Sub, 1)
		c.AttachChildren()
	}
	flaggy.Parse()
	for _, c := range commands {
		if u := c.Used(); u != nil && u.Run != nil {
			return finish(name, u.Run(ctx))
		}
	}
	flaggy.ShowHelp("")
	return ExitUsage
}

// finish prints the error of a command and returns its exit code.
func finish(name string, err error) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(os.Stderr, name+":", err)
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return ExitFailed
}
