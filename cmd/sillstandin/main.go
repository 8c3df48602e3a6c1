// Command sillstandin runs one stand-in of the platform, an engine, a service
// or a scorer, for tests and measurements on one machine.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillstandin"
)

const mainHelp = `Stand-ins for tests: platform, engine, service, scorer. They listen on loopback only.

Each prints one line of JSON on stdout when it is ready: {"ready":true,"url":"http://..."}.
It ends on SIGTERM and after --exit-after.

POST /standin/faults sets the faults of all areas at once; areas left out have none:
  {"AREA": {"down": false, "slow-ms": 0, "answer-lost": false, "answer-lost-next": 0,
            "fail-share": 0.0, "fail-next": 0, "late-ms": 0, "gapped": 0,
            "crash-on-body": "", "silent": false, "fail-load": false, "half-load": false}}
Areas: platform: table, objects, orders, instances, usage, weights;
  engine: completions, requests, orders, load, cache-events;
  service: bookings, availability; scorer: score.
GET /standin/record returns what actually happened; engine and service take ?request_id=.
POST /standin/crash crashes an engine or a service.

Exit codes: 0 done, 1 failed, 2 wrong command line.`

// serveFlags are the flags that every stand-in has.
type serveFlags struct {
	listen    string
	exitAfter time.Duration
	seed      uint64
}

func (f *serveFlags) add(sub *flaggy.Subcommand) {
	f.listen = "127.0.0.1:0"
	sub.String(&f.listen, "", "listen", "IP:PORT on loopback; port 0 takes a free one")
	sub.Duration(&f.exitAfter, "", "exit-after", "end after this time, as 10m; 0 never")
	sub.UInt64(&f.seed, "", "seed", "seed of the faults")
}

func (f *serveFlags) serve(ctx context.Context, h http.Handler, p *sillstandin.Panel) error {
	return sillstandin.Serve(ctx, sillstandin.ServeConfig{
		Listen: f.listen, ExitAfter: f.exitAfter, Handler: h, Panel: p, Ready: os.Stdout,
	})
}

func main() {
	os.Exit(sillcommand.Main("sillstandin", mainHelp, []*sillcommand.Command{
		newPlatformCommand(),
		newEngineCommand(),
		newServiceCommand(),
		newScorerCommand(),
	}))
}
