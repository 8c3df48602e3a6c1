package sillload

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillreport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Config holds what a run needs.
type Config struct {
	Scenario   Scenario
	Deployment Deployment
	Faults     FaultSchedule
	// Seed gives the plan.
	Seed uint64
	// Duration is the time in which calls arrive.
	Duration time.Duration
	// FirstVersion is the weight version that the engines serve at the start.
	FirstVersion sillid.WeightVersion
	// Signal acts on a process by name; nil if none was started.
	Signal func(action, name string) error
	// BeforeGather is called once the load is over and before the records are
	// read, so that stopped processes can go on. It may be nil.
	BeforeGather func()
	// Uses returns what the processes have used so far; nil if none was started.
	Uses func() []sillreport.ProcessUse
	// Progress takes a line a second. It may be nil.
	Progress io.Writer
}

// runner collects what happens during a run. Its fields are kept under mu.
type runner struct {
	cfg Config

	mu       sync.Mutex
	evidence sillreport.Evidence
	begun    int
	inFlight int
	served   int
	failed   int
	errors   int
	lastErr  error
}

// finishTime is the time after the load in which running calls may end.
const finishTime = 45 * time.Second

// Run puts the load on the deployment and returns the evidence.
func Run(ctx context.Context, cfg Config) (*sillreport.Evidence, error) {
	if err := checkRun(&cfg); err != nil {
		return nil, err
	}
	settle := time.Duration(cfg.Deployment.UsageSettleSeconds) * time.Second
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration+finishTime+settle+finishTime)
	defer cancel()
	plan := Plan(&cfg.Scenario, cfg.Duration, cfg.Seed)
	r := &runner{cfg: cfg}
	r.evidence = sillreport.Evidence{
		Scenario: cfg.Scenario.Name, Seed: cfg.Seed, UsageExpected: settle > 0,
		Targets: len(cfg.Deployment.Engines) + len(cfg.Deployment.Services),
		Calls:   []sillreport.Call{}, Runs: []sillreport.TargetRun{}, Samples: []sillreport.Sample{},
		Batches: []sillreport.Batch{}, Usage: []sillreport.Usage{},
	}
	client := newClient()
	before := tableUse(ctx, &cfg.Deployment, client)
	r.load(ctx, plan)
	r.evidence.Table = tableUse(ctx, &cfg.Deployment, client).since(before)
	if cfg.BeforeGather != nil {
		cfg.BeforeGather()
	}
	sleep(ctx, settle)
	g := &gatherer{
		scenario: &cfg.Scenario, deployment: &cfg.Deployment, client: client,
		evidence: &r.evidence, organisations: map[sillreport.CallID]sillid.OrganisationID{},
	}
	for _, a := range plan {
		g.organisations[a.CallID] = a.Organisation
	}
	g.gather(ctx)
	return &r.evidence, nil
}

func checkRun(cfg *Config) error {
	if cfg.Duration <= 0 {
		return eris.New("sillload.Run: duration: use more than 0")
	}
	if err := cfg.Scenario.Check(cfg.Duration); err != nil {
		return err
	}
	if err := cfg.Deployment.Check(); err != nil {
		return err
	}
	return cfg.Faults.Check(&cfg.Deployment)
}

// load carries out the plan and waits for its calls.
func (r *runner) load(ctx context.Context, plan []Arrival) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration+finishTime)
	defer cancel()
	start := time.Now()
	r.evidence.Start = start.UnixMilli()
	uses := r.uses()
	helpers := sillgroup.New(ctx)
	helpers.Go(func(ctx context.Context) { r.report(ctx, start) })
	f := &faulter{deployment: &r.cfg.Deployment, client: newClient(), signal: r.cfg.Signal, note: r.noteFault}
	helpers.Go(func(ctx context.Context) { f.run(ctx, &r.cfg.Faults, start) })
	calls := sillgroup.New(ctx)
	r.startTrainers(calls, start)
	c := &caller{scenario: &r.cfg.Scenario, deployment: &r.cfg.Deployment, client: newClient(), done: r.noteCall}
	for _, a := range plan {
		scheduled := start.Add(a.At)
		if !sleep(ctx, time.Until(scheduled)) {
			break
		}
		r.count(func() { r.begun++; r.inFlight++ })
		calls.Go(func(ctx context.Context) {
			c.call(ctx, a, scheduled)
			r.count(func() { r.inFlight-- })
		})
	}
	calls.Wait()
	r.evidence.End = time.Now().UnixMilli()
	r.evidence.Processes = usedSince(uses, r.uses())
	helpers.Stop()
}

func (r *runner) startTrainers(g *sillgroup.Group, start time.Time) {
	version := &modelVersion{}
	version.Store(uint64(r.cfg.FirstVersion))
	for _, t := range r.cfg.Scenario.Trainers {
		x := &trainer{
			Trainer: t, deployment: &r.cfg.Deployment, model: r.cfg.Scenario.Model.Model,
			client: newClient(), version: version, run: fmt.Sprintf("%x", start.UnixMilli()),
			gotSample: r.noteSample, gotBatch: r.noteBatch, failed: r.noteError,
		}
		g.Go(func(ctx context.Context) { x.work(ctx, start.Add(r.cfg.Duration)) })
	}
}

func (r *runner) count(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *runner) noteCall(c sillreport.Call) {
	r.count(func() {
		r.evidence.Calls = append(r.evidence.Calls, c)
		if c.Served() {
			r.served++
		} else {
			r.failed++
		}
	})
}

func (r *runner) noteSample(s sillreport.Sample) {
	r.count(func() { r.evidence.Samples = append(r.evidence.Samples, s) })
}

func (r *runner) noteBatch(b sillreport.Batch) {
	r.count(func() { r.evidence.Batches = append(r.evidence.Batches, b) })
}

func (r *runner) noteFault(n sillreport.FaultNote) {
	r.count(func() { r.evidence.Faults = append(r.evidence.Faults, n) })
}

func (r *runner) noteError(err error) {
	r.count(func() { r.errors++; r.lastErr = err })
}

// report writes a line of progress a second.
func (r *runner) report(ctx context.Context, start time.Time) {
	if r.cfg.Progress == nil {
		return
	}
	for sleep(ctx, time.Second) {
		r.mu.Lock()
		line := fmt.Sprintf("%3.0f s: %d sent, %d in flight, %d served, %d attempts failed, %d samples, %d batches",
			time.Since(start).Seconds(), r.begun, r.inFlight, r.served, r.failed, len(r.evidence.Samples), len(r.evidence.Batches))
		if r.lastErr != nil {
			line += fmt.Sprintf(", %d trainer errors, last: %v", r.errors, r.lastErr)
		}
		r.mu.Unlock()
		// Progress is for people; a run goes on without it.
		_, _ = fmt.Fprintln(r.cfg.Progress, line)
	}
}
