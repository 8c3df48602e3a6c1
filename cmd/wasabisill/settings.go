package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

const (
	settingsHelp        = "Check and show settings files."
	settingsCheckHelp   = "Check a settings file. Every fault is printed with its path and remedy; the exit code is 2 if there are any."
	settingsExampleHelp = "Print the settings of a program with every field and its default."
)

// Names of the programs in the settings commands.
const (
	gatewayProgram = "gateway"
	agentProgram   = "agent"
)

func newSettingsCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("settings")
	sub.Description = settingsHelp
	return &sillcommand.Command{Sub: sub, Children: []*sillcommand.Command{newSettingsCheck(), newSettingsExample()}}
}

func newSettingsCheck() *sillcommand.Command {
	var program, file string
	sub := flaggy.NewSubcommand("check")
	sub.Description = settingsCheckHelp
	sub.AddPositionalValue(&program, "program", 1, true, "gateway or agent")
	addSettingsFlag(sub, &file)
	return &sillcommand.Command{Sub: sub, Run: func(context.Context) error { return checkSettings(program, file) }}
}

func newSettingsExample() *sillcommand.Command {
	var program string
	sub := flaggy.NewSubcommand("example")
	sub.Description = settingsExampleHelp
	sub.AddPositionalValue(&program, "program", 1, true, "gateway or agent")
	return &sillcommand.Command{Sub: sub, Run: func(context.Context) error { return printExample(program) }}
}

// addSettingsFlag adds the flag that names the settings file.
func addSettingsFlag(sub *flaggy.Subcommand, file *string) {
	sub.String(file, "s", "settings", "path of the settings file, in JSON")
}

// newProcessCommand returns the command that runs a process with a settings file.
func newProcessCommand(name, help string, run func(ctx context.Context, file string) error) *sillcommand.Command {
	var file string
	sub := flaggy.NewSubcommand(name)
	describe(sub, help)
	addSettingsFlag(sub, &file)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error { return run(ctx, file) }}
}

// loadSettings reads and checks a settings file.
func loadSettings(file string, into any, validate func() error) error {
	if file == "" {
		return &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: errors.New("no settings file: name one with --settings")}
	}
	if err := sillsettings.Load(file, into); err != nil {
		return &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: err}
	}
	if err := validate(); err != nil {
		return &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: err}
	}
	return nil
}

// defaults returns the default settings of a program and their validation function.
func defaults(program string) (any, func() error, error) {
	switch program {
	case gatewayProgram:
		s := sillsettings.DefaultGateway()
		return s, s.Validate, nil
	case agentProgram:
		s := sillsettings.DefaultAgent()
		return s, s.Validate, nil
	}
	err := fmt.Errorf("unknown program %q: write %s or %s", program, gatewayProgram, agentProgram)
	return nil, nil, &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: err}
}

func checkSettings(program, file string) error {
	settings, validate, err := defaults(program)
	if err != nil {
		return err
	}
	if err := loadSettings(file, settings, validate); err != nil {
		return err
	}
	fmt.Println("the settings are valid")
	return nil
}

func printExample(program string) error {
	settings, _, err := defaults(program)
	if err != nil {
		return err
	}
	return printJSON(settings)
}
