package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of the cases.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	dir := flag.String("dir", "", "folder for the settings files of the gateways")
	path := flag.String("record", "record.txt", "file that tells what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	flag.Parse()
	cases := map[string]func(dir string, rec *record, trouble bool) (broken bool, err error){
		"poison": playPoison,
		"window": playWindow,
		"orders": playOrders,
		"flood":  playFlood,
		"bodies": playBodies,
	}
	play := cases[flag.Arg(0)]
	if play == nil || *dir == "" {
		fmt.Fprintln(os.Stderr, "usage: standin3 -dir DIR [-record FILE] [-trouble=false] CASE")
		os.Exit(exitNotRun)
	}
	rec := newRecord(*path)
	broken, err := play(*dir, rec, *trouble)
	switch {
	case err != nil:
		rec.line("not run: %v", err)
		os.Exit(exitNotRun)
	case broken:
		rec.line("RESULT: the rule was broken")
		os.Exit(exitBroken)
	}
	rec.line("RESULT: the rule held")
	os.Exit(exitHeld)
}
