package sillprocess

import (
	"bufio"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillloopback"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillsoak"
)

var (
	soakSeeds     = flag.Int("soak-seeds", 1, "number of seeds of the soak")
	firstSoakSeed = flag.Uint64("soak-first", 1, "first seed of the soak")
	soakProcesses = flag.Int("soak-processes", 3, "number of processes that stop; 0 draws 3 to 8 from the seed")
	soakLogs      = flag.String("soak-logs", "", "folder that keeps the logs of the soak; none by default")
	soakDuration  = flag.Duration("soak-duration", 10*time.Second, "time in which stops of the soak begin")
)

// Kinds of requests of the soak.
const (
	soakAvailability sillsoak.Kind = "availability"
	soakBooking      sillsoak.Kind = "booking"
)

const (
	soakNotice = time.Second
	// soakGrace is the time within which a process stops.
	soakGrace = 8 * time.Second
	// soakDrain is the drain limit of gateways and agents.
	soakDrain   = 4 * time.Second
	soakTimeout = 6 * time.Second
)

// TestSoakGateways stops, restarts and pauses gateways in series that overlap, while callers
// use their connections until the gateways close them and a target names a limit on requests.
// Long runs set the flags.
func TestSoakGateways(t *testing.T) {
	soakSeries(t, func(s *soakRun) {
		s.newCluster(len(s.plan.Processes), 4)
		for i, g := range s.gateways {
			s.addDriver(s.addresses[i].Name, "gateway", g.process).Check = s.addresses[i].Check
		}
		s.nameLimit()
	})
}

// TestSoakAgents does the same with agents, while the gateways stay.
func TestSoakAgents(t *testing.T) {
	soakSeries(t, func(s *soakRun) {
		s.newCluster(2, len(s.plan.Processes))
		for _, tg := range s.targets {
			s.settingsFile(string(tg.id), tg.settings)
			s.addDriver(string(tg.id), "agent", tg.agent)
		}
	})
}

// soakSeries runs a soak for each seed; start starts the cluster and adds the drivers of
// the processes that stop.
func soakSeries(t *testing.T, start func(s *soakRun)) {
	for i := range *soakSeeds {
		seed := *firstSoakSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			s := newSoakRun(t, seed)
			start(s)
			s.awaitServing()
			s.run()
			s.report()
		})
	}
}

// soakRun is one soak of a cluster.
type soakRun struct {
	*cluster
	test  *testing.T
	seed  uint64
	audit *sillsoak.Audit
	plan  *sillsoak.Plan
	// addresses holds the addresses of the gateways.
	addresses []*sillsoak.Gateway
	drivers   []*sillsoak.Driver
	processes *sillgroup.Group

	mu sync.Mutex
	// logs holds the logs of the processes by their names.
	logs map[string][]*output

	// limited is a target that names a limit of perSecond requests a second since named;
	// nil if there is none.
	limited   *target
	perSecond float64
	named     time.Time
}

// nameLimit makes a target name a limit that follows from the seed.
func (s *soakRun) nameLimit() {
	random := rand.New(rand.NewPCG(s.seed, 2))
	s.limited = s.targets[random.IntN(len(s.targets))]
	s.perSecond = 0.3 * math.Pow(100, random.Float64())
	faults := map[string]any{"request-limit": strconv.FormatFloat(s.perSecond, 'f', 3, 64)}
	s.control(s.limited.url+"/standin/faults", map[string]any{"bookings": faults, "availability": faults})
	s.named = time.Now()
}

// checkLimit fails the test if the target that names a limit got more.
func (s *soakRun) checkLimit() {
	if s.limited == nil {
		return
	}
	if most, allowed := s.mostStarted(s.limited, s.named), limitBound.Allowed(s.perSecond); most > allowed {
		s.test.Errorf("target %s with a limit of %.3f a second got %d requests in %v; allowed %d", s.limited.id, s.perSecond, most, limitBound.Window, allowed)
	}
}

func (s *soakRun) addLog(name string, p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs[name] = append(s.logs[name], p.log)
}

// keepLogs writes the logs of each process name to a file if a folder is given.
func (s *soakRun) keepLogs() {
	if *soakLogs == "" {
		return
	}
	dir := filepath.Join(*soakLogs, fmt.Sprintf("seed-%d", s.seed))
	check(s.t, os.MkdirAll(dir, 0o700))
	for name, list := range s.logs {
		text := ""
		for _, log := range list {
			text += log.String()
		}
		check(s.t, os.WriteFile(filepath.Join(dir, name+".log"), []byte(text), 0o600))
	}
}

func newSoakRun(t *testing.T, seed uint64) *soakRun {
	s := &soakRun{test: t, seed: seed, processes: sillgroup.New(context.Background()), logs: make(map[string][]*output)}
	s.plan = sillsoak.NewPlan(sillsoak.PlanConfig{Seed: seed, Processes: *soakProcesses, Duration: *soakDuration, Notice: soakNotice, Hangups: true})
	s.audit = sillsoak.NewAudit(sillsoak.AuditConfig{
		Timeout:   soakTimeout,
		Judge:     judgeSoak,
		MayRepeat: func(k sillsoak.Kind) bool { return k == soakAvailability },
		Log:       func(*sillsoak.Exchange) string { return "" },
	})
	return s
}

func (s *soakRun) newCluster(gateways, services int) {
	s.cluster = newCluster(s.test, size{
		services: services,
		tune:     s.tune,
		tuneAgent: func(a *sillsettings.Agent) {
			a.Control.DrainLimit = sillsettings.Seconds(soakDrain.Seconds())
		},
		edit: func(b *sillbundle.Bundle) {
			for i := range b.Routes {
				b.Routes[i].TimeoutSeconds = int(soakTimeout.Seconds())
			}
		},
	})
	for range gateways {
		s.addGateway()
	}
}

// tune gives a gateway an address that it keeps.
func (s *soakRun) tune(g *sillsettings.Gateway) {
	ip, err := sillloopback.NewIP()
	check(s.t, err)
	address := func(port int) sillsettings.Address {
		return sillsettings.Address(net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	g.Listen = sillsettings.GatewayListen{Callers: address(7401), Admin: address(7402), Metrics: address(7403)}
	g.Control.StopNotice = sillsettings.Seconds(soakNotice.Seconds())
	g.Control.DrainLimit = sillsettings.Seconds(soakDrain.Seconds())
	s.addresses = append(s.addresses, &sillsoak.Gateway{
		Name: string(g.Instance), Callers: string(g.Listen.Callers), Ready: "http://" + string(g.Listen.Metrics) + "/readyz",
	})
}

// addDriver adds the driver of a process whose settings file has its name.
func (s *soakRun) addDriver(name, command string, first *process) *sillsoak.Driver {
	s.addLog(name, first)
	var serving <-chan struct{}
	d := &sillsoak.Driver{
		Name: name, Plan: s.plan.Processes[len(s.drivers)], Grace: soakGrace, Audit: s.audit, Process: first.soaked(),
		Start: func(processors int) (*sillsoak.Process, error) {
			p, ready, err := s.startAgain(command, name, processors)
			serving = ready
			return p, err
		},
		AwaitServing: func(*sillsoak.Process) { <-serving },
	}
	s.t.Cleanup(func() { d.Process.Kill() })
	s.drivers = append(s.drivers, d)
	return d
}

func (p *process) soaked() *sillsoak.Process {
	return &sillsoak.Process{Signal: p.signal, Done: p.done, State: func() *os.ProcessState { return p.cmd.ProcessState }}
}

// startAgain starts a process with the settings that it had before. The channel is closed
// when it serves or has ended.
func (s *soakRun) startAgain(command, name string, processors int) (*sillsoak.Process, <-chan struct{}, error) {
	p := &process{
		cmd: exec.Command(filepath.Join(binaries, "wasabisill"), command, "--settings", filepath.Join(s.dir, name+".json")),
		log: &output{}, done: make(chan struct{}),
	}
	s.addLog(name, p)
	p.cmd.Stderr = p.log
	p.cmd.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(processors))
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, nil, err
	}
	serving := make(chan struct{})
	s.processes.Go(func(context.Context) {
		r := bufio.NewReader(out)
		_, _ = r.ReadString('\n')
		close(serving)
		_, _ = io.Copy(io.Discard, r)
		_ = p.cmd.Wait()
		close(p.done)
	})
	return p.soaked(), serving, nil
}

// run carries out the plan while callers send requests.
func (s *soakRun) run() {
	background := sillgroup.New(context.Background())
	balancer := sillsoak.NewBalancer(s.addresses)
	balancer.Start(background)
	sillsoak.StartCallers(background, sillsoak.CallersConfig{
		Seed: s.seed, Uses: sillsoak.Uses(len(s.addresses)), Balancer: balancer, Audit: s.audit,
		Protocol: &sillsoak.Protocol{
			Kinds: []sillsoak.Kind{soakAvailability, soakBooking}, Request: s.soakRequest, Timeout: soakTimeout,
		},
	})
	began := time.Now()
	drivers := sillgroup.New(context.Background())
	for _, d := range s.drivers {
		d.Began = began
		drivers.Go(d.Run)
	}
	for i, at := range s.plan.Changes {
		time.Sleep(time.Until(began.Add(at)))
		s.accept(func(b *sillbundle.Bundle) { b.Routes[0].TimeoutSeconds = 60 + i%2 })
		s.audit.Count("configurations", 1)
	}
	drivers.Wait()
	background.Stop()
	s.processes.Wait()
}

func (s *soakRun) soakRequest(id sillsoak.RequestID) string {
	const common = "Host: a.example\r\nAuthorization: Bearer "
	key := s.keys["hall"]
	if id.Kind() == soakAvailability {
		return fmt.Sprintf("GET /slot-desk/availability?ref=%s HTTP/1.1\r\n%s%s\r\n\r\n", id, common, key)
	}
	body := soakBody(id)
	return fmt.Sprintf("POST /slot-desk/bookings HTTP/1.1\r\n%s%s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", common, key, len(body), body)
}

// soakRef is the body of a booking of the soak.
type soakRef struct {
	Ref sillsoak.RequestID `json:"ref"`
}

func soakBody(id sillsoak.RequestID) string {
	b, _ := json.Marshal(soakRef{id})
	return string(b)
}

// judgeSoak returns the verdict on an answer.
func judgeSoak(id sillsoak.RequestID, a *sillsoak.Answer) sillsoak.Verdict {
	var got struct {
		Echo    soakRef `json:"echo"`
		Query   string  `json:"query"`
		Outcome string  `json:"outcome"`
	}
	if err := json.Unmarshal([]byte(a.Body), &got); err != nil {
		return sillsoak.Verdict{Reason: a.Body}
	}
	switch {
	case a.Status == http.StatusOK && got.Query == "ref="+string(id), a.Status == http.StatusCreated && got.Echo.Ref == id:
		return sillsoak.Verdict{Served: true}
	case a.Status >= http.StatusBadRequest && got.Outcome == "not-run":
		return sillsoak.Verdict{NotRun: true}
	case a.Status == http.StatusGatewayTimeout:
		return sillsoak.Verdict{TimedOut: true}
	}
	return sillsoak.Verdict{Reason: a.Body}
}

// soakRuns returns how often each request ran.
func (s *soakRun) soakRuns() map[sillsoak.RequestID]int {
	runs := make(map[sillsoak.RequestID]int)
	for _, tg := range s.targets {
		for _, r := range s.record(tg, "") {
			seen, _ := r["seen"].(map[string]any)
			if id := soakID(seen); id != "" {
				runs[id]++
			}
		}
	}
	return runs
}

// soakID returns the id of the request that a target saw, or "" for others.
func soakID(seen map[string]any) sillsoak.RequestID {
	query, _ := seen["query"].(string)
	if q, err := url.ParseQuery(query); err == nil && q.Get("ref") != "" {
		return sillsoak.RequestID(q.Get("ref"))
	}
	body, _ := seen["body"].(string)
	var ref soakRef
	_ = json.Unmarshal([]byte(body), &ref)
	return ref.Ref
}

func (s *soakRun) report() {
	s.keepLogs()
	s.checkLimit()
	s.audit.Finish(s.soakRuns())
	counts, faults := s.audit.Report()
	s.test.Log(strings.Join(counts, "\n"))
	for _, f := range faults {
		s.test.Error(f)
	}
}
