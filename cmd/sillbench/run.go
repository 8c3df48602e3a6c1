package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillload"
	"github.com/wasabisill/wasabisill/internal/sillreport"
)

// runFlags are the flags of a run.
type runFlags struct {
	scenario   string
	deployment string
	faults     string
	out        string
	standin    string
	product    string
	format     string
	seed       uint64
	duration   time.Duration
	quiet      bool
	// Sizes that replace the scenario's if they are above 0.
	gateways int
	engines  int
	services int
	rate     float64
}

// maxDuration bounds the load of one run.
const maxDuration = time.Hour

const runHelp = `A fault schedule is a JSON file:
  {"steps": [{"at-seconds": 5, "action": "faults", "name": "engine-3",
              "faults": {"completions": {"slow-ms": 200}}},
             {"at-seconds": 8, "action": "kill", "name": "gateway-1"}]}
Actions on the stand-ins platform, engine-N and service-N: faults (none sets all off;
sillstandin --help lists them) and crash, which keeps the record that the audit needs.
Actions on the processes gateway-N, agent-engine-N and agent-service-N: kill, freeze,
continue, restart.

A deployment file names what runs already, on loopback:
  {"gateways": ["http://127.0.0.1:8080"], "keys": {"ORGANISATION": "KEY"},
   "engines": {"engine-1": "http://..."}, "services": {"service-1": "http://..."},
   "platform": "http://...", "usage-settle-seconds": 25}
usage-settle-seconds 0 leaves usage out of the audit.

The directory of --out gets report.json (for compare and plot), evidence.json (for
audit), the plots, and the logs of the processes. 'sillbench scenario NAME' prints a
built-in scenario, to be changed and given to --scenario.`

func newRunCommand() *sillcommand.Command {
	f := runFlags{
		scenario: "utility", out: "bench-out", format: "svg", seed: 1, duration: 30 * time.Second,
		standin: siblingProgram("sillstandin"), product: siblingProgram("wasabisill"),
	}
	sub := flaggy.NewSubcommand("run")
	sub.Description = "run a load against a deployment, audit it and report on it"
	sub.AdditionalHelpAppend = runHelp
	sub.String(&f.scenario, "", "scenario", "utility, orchard, both or a JSON file")
	sub.String(&f.deployment, "", "deployment", "JSON file of a running deployment; none starts one")
	sub.String(&f.faults, "", "faults", "mixed, store, or the JSON file of a fault schedule")
	sub.String(&f.out, "", "out", "directory of report.json, evidence.json, plots and logs")
	sub.String(&f.standin, "", "standin", "the sillstandin program")
	sub.String(&f.product, "", "product", "the wasabisill program")
	sub.String(&f.format, "", "format", "of the plots: svg or png")
	sub.UInt64(&f.seed, "", "seed", "seed of the plan")
	sub.Duration(&f.duration, "", "duration", "time in which calls arrive, up to 1h")
	sub.Int(&f.gateways, "", "gateways", "number of gateways in place of the scenario's")
	sub.Int(&f.engines, "", "engines", "number of engines in place of the scenario's")
	sub.Int(&f.services, "", "services", "number of services in place of the scenario's")
	sub.Float64(&f.rate, "", "rate", "factor on the rates of the calls")
	sub.Bool(&f.quiet, "", "quiet", "no line of progress a second")
	return &sillcommand.Command{Sub: sub, Run: f.runAll}
}

// bothScenarios is the value of --scenario that runs all built-in scenarios in turn.
const bothScenarios = "both"

// runAll runs the scenario, or the built-in ones, each with a directory of its own.
func (f *runFlags) runAll(ctx context.Context) error {
	if f.scenario != bothScenarios {
		return f.run(ctx)
	}
	var failed error
	for _, name := range sillload.BuiltinNames() {
		one := *f
		one.scenario = name
		one.out = filepath.Join(f.out, name)
		if err := one.run(ctx); errors.Is(err, errAudit) {
			failed = err
		} else if err != nil {
			return err
		}
	}
	return failed
}

// siblingProgram returns the path of a program in the directory of this one.
func siblingProgram(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}

// firstVersion is the weight version that started engines serve.
const firstVersion = 1

func (f *runFlags) run(ctx context.Context) error {
	if f.duration <= 0 || f.duration > maxDuration {
		return eris.Errorf("run: duration %s: use up to %s", f.duration, maxDuration)
	}
	cfg := sillload.Config{Seed: f.seed, Duration: f.duration, FirstVersion: firstVersion}
	if !f.quiet {
		cfg.Progress = os.Stderr
	}
	if err := f.readFiles(&cfg); err != nil {
		return err
	}
	if err := os.MkdirAll(f.out, directoryMode); err != nil {
		return eris.Wrap(err, "run: directory")
	}
	if f.deployment == "" {
		d, err := deploy(ctx, f, &cfg.Scenario)
		if d != nil {
			defer d.stop()
		}
		if err != nil {
			return err
		}
		cfg.Deployment = d.deployment
		cfg.Signal = func(action, name string) error { return d.signal(ctx, action, name) }
		cfg.BeforeGather = d.processes.Continue
		cfg.Uses = d.uses
	}
	evidence, err := sillload.Run(ctx, cfg)
	if err != nil {
		return err
	}
	return f.finish(evidence)
}

func (f *runFlags) readFiles(cfg *sillload.Config) error {
	s, ok := sillload.Builtin(f.scenario)
	if !ok {
		if err := sillload.ReadJSON(f.scenario, &s); err != nil {
			return err
		}
	}
	f.resize(&s)
	cfg.Scenario = s
	if err := f.readFaults(&cfg.Faults); err != nil {
		return err
	}
	if f.deployment == "" {
		return nil
	}
	return sillload.ReadJSON(f.deployment, &cfg.Deployment)
}

func (f *runFlags) readFaults(into *sillload.FaultSchedule) error {
	if f.faults == "" {
		return nil
	}
	if s, ok := sillload.BuiltinFaults(f.faults, f.duration); ok {
		*into = s
		return nil
	}
	return sillload.ReadJSON(f.faults, into)
}

// resize applies the sizes of the command line to the scenario. It adds them to the
// scenario's name, since figures of different sizes cannot be compared.
func (f *runFlags) resize(s *sillload.Scenario) {
	replace(&s.Gateways, f.gateways, &s.Name, "gateways")
	replace(&s.Model.Engines, f.engines, &s.Name, "engines")
	replace(&s.Service.Services, f.services, &s.Name, "services")
	if f.rate <= 0 {
		return
	}
	s.Rates.Bookings *= f.rate
	s.Rates.Availability *= f.rate
	s.Rates.Streams *= f.rate
	s.Rates.Completions *= f.rate
	s.Name += fmt.Sprintf(" rate=%g", f.rate)
}

func replace(size *int, by int, name *string, what string) {
	if by <= 0 {
		return
	}
	*size = by
	*name += fmt.Sprintf(" %s=%d", what, by)
}

// finish writes and prints the report. It returns errAudit if the audit failed.
func (f *runFlags) finish(evidence *sillreport.Evidence) error {
	r := sillreport.New(evidence)
	if err := sillreport.Write(filepath.Join(f.out, "evidence.json"), evidence); err != nil {
		return err
	}
	if err := sillreport.Write(filepath.Join(f.out, "report.json"), r); err != nil {
		return err
	}
	if err := plot(&r, f.out, f.format); err != nil {
		return err
	}
	fmt.Println()
	if err := sillreport.Print(os.Stdout, &r); err != nil {
		return err
	}
	if !r.Audit.Passed {
		return errAudit
	}
	return nil
}
