// Command standin plays a case of the review: it is the store, the servers, the operator and
// the clients of gateways that the script of the case starts. It exits with 1 if the rule
// was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

const (
	held    = 0
	broken  = 1
	cantRun = 2
	// playLimit bounds a case.
	playLimit = 110 * time.Second
)

var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"spoiled-event": spoiledEvent,
	"new-route":     newRoute,
	"split-header":  splitHeader,
	"large-job":     largeJob,
	"sent-twice":    sentTwice,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "temporary folder")
	path := flag.String("record", "record.txt", "where to write what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *dir, *path, os.Getenv("TROUBLE") != "0"))
}

func play(name, dir, path string, trouble bool) int {
	log, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cantRun
	}
	time.AfterFunc(playLimit, func() {
		log.note("the case took too long")
		os.Exit(cantRun)
	})
	scenario, ok := cases[name]
	if !ok {
		log.note("no such case: %s", name)
		return cantRun
	}
	log.note("case %s, with trouble: %v", name, trouble)
	verdict, err := scenario(&deployment{dir: dir, store: newStore(), log: log}, trouble)
	if err != nil {
		log.note("the case could not run: %v", err)
		return cantRun
	}
	log.note("verdict: %d (0 the rule held, 1 it was broken)", verdict)
	return verdict
}
