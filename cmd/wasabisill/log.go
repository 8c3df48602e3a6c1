package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/silltimeline"
)

const (
	logHelp     = "Read the logs of gateways."
	explainHelp = `Print what happened to one request, item, job or content of requests, from the logs of several gateways.

Pass the X-Request-Id of a request, the id of an item or of a job, or the content that the log lines of a failed request show, and the log files of all gateways; - is the standard input. The lines are sorted by time; differences between the gateways' clocks are found from changes that all of them observe, and corrected. A bar marks lines that do not name the request but report events of its gateways and targets. Lines that can't be read are counted.`
)

// maxLogFiles bounds the log files of one call; deployments have at most a few hundred
// gateways.
const maxLogFiles = 512

func newLogCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("log")
	sub.Description = logHelp
	return &sillcommand.Command{Sub: sub, Children: []*sillcommand.Command{newLogExplain()}}
}

func newLogExplain() *sillcommand.Command {
	sub := flaggy.NewSubcommand("explain")
	describe(sub, explainHelp)
	var id string
	sub.String(&id, "", "id", "id of the request, item or job, or content of requests")
	files := make([]string, maxLogFiles)
	for i := range files {
		sub.AddPositionalValue(&files[i], "file", i+1, false, "file with a log; more may follow")
		sub.PositionalFlags[i].Hidden = i > 0
	}
	return &sillcommand.Command{Sub: sub, Run: func(context.Context) error {
		if err := required([2]string{"id", id}); err != nil {
			return err
		}
		return explainLogs(os.Stdout, id, untilEmpty(files))
	}}
}

// untilEmpty returns the values before the first empty one.
func untilEmpty(values []string) []string {
	for i, v := range values {
		if v == "" {
			return values[:i]
		}
	}
	return values
}

func explainLogs(w io.Writer, id string, files []string) error {
	if len(files) == 0 {
		return &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: errors.New("no log: name the files with the logs of the gateways, or - for the standard input")}
	}
	var logs silltimeline.Logs
	for _, file := range files {
		if err := readLog(&logs, file); err != nil {
			return err
		}
	}
	timeline, err := silltimeline.Build(&logs, id)
	if err != nil {
		return fmt.Errorf("explain %s: %w", id, err)
	}
	return timeline.Write(w)
}

func readLog(logs *silltimeline.Logs, file string) error {
	if file == "-" {
		return logs.Read("stdin", os.Stdin)
	}
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("open the log: %w", err)
	}
	defer func() { _ = f.Close() }()
	return logs.Read(file, f)
}
