// Command standin2 plays a script of the review. It starts stand-ins of the platform and
// processes of the system, and judges what clients, servers and the platform see.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// limit bounds a script.
const limit = 112 * time.Second

// trial is one run of a script.
type trial struct {
	rec *record
	// dir is a temporary folder.
	dir string
	// trouble is whether the disruption takes place.
	trouble bool
}

// scripts holds the scripts by name.
var scripts = map[string]func(ctx context.Context, c *trial) (broken bool, err error){
	"big-jobs": bigJobs, "many-fields": manyFields, "many-items": manyItems, "bodies": bodies,
}

func main() {
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 SCRIPT FOLDER, in the root of the repository")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(script, folder string) int {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "standin2")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c := &trial{rec: newRecord(out), dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	c.rec.printf("script %s, with the disruption: %v", script, c.trouble)
	broken, err := scripts[script](ctx, c)
	if err == nil {
		err = ctx.Err()
	}
	code, told := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, told = exitNotRun, "not run to its end: "+err.Error()
	case broken:
		code, told = exitBroken, "the rule was broken"
	}
	c.rec.printf("%s", told)
	fmt.Println(script+":", told)
	return code
}
