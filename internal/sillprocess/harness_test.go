package sillprocess

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltls"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// binaries is the folder of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "wasabisill-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/wasabisill", "../../cmd/sillstandin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// processLife bounds every started process, whatever becomes of the test.
	processLife = "4m"
	// waitLimit bounds the wait for something that must happen.
	waitLimit = 30 * time.Second
	loopback  = "127.0.0.1:0"
	operator  = sillbundle.OperatorName("test")
	zone      = sillid.ZoneID("zone-a")
)

// process is a started program.
type process struct {
	cmd  *exec.Cmd
	log  *output
	done chan struct{}
}

// output collects what a program writes while others read it.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// start runs a program and returns the first line that it prints.
func start(t testing.TB, program string, args ...string) (*process, []byte) {
	t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binaries, program), args...), log: &output{}, done: make(chan struct{})}
	p.cmd.Stderr = p.log
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := make(chan []byte, 1)
	sillgroup.New(context.Background()).Go(func(context.Context) {
		r := bufio.NewReader(out)
		line, _ := r.ReadBytes('\n')
		lines <- line
		_, _ = io.Copy(io.Discard, r)
		_ = p.cmd.Wait()
		close(p.done)
	})
	t.Cleanup(func() { p.kill() })
	select {
	case line := <-lines:
		if len(line) == 0 {
			t.Fatalf("%s %v printed nothing: %s", program, args, p.log)
		}
		return p, line
	case <-time.After(waitLimit):
		t.Fatalf("%s %v was not ready: %s", program, args, p.log)
		return nil, nil
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate asks the process to end and waits until it has.
func (p *process) terminate(t testing.TB) {
	t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(waitLimit):
		t.Fatalf("process did not end: %s", p.log)
	}
}

func (p *process) freeze() { p.signal(syscall.SIGSTOP) }
func (p *process) thaw()   { p.signal(syscall.SIGCONT) }

// size is the size of a cluster.
type size struct {
	engines, services, gateways int
	// engineArgs and platformArgs are further flags of the stand-ins.
	engineArgs, platformArgs []string
	// relays puts a relay between the gateways and every agent.
	relays bool
	// oneStandin lets all agents of a kind share one stand-in.
	oneStandin bool
	// tune changes the settings of gateways, tuneAgent those of agents.
	tune      func(s *sillsettings.Gateway)
	tuneAgent func(s *sillsettings.Agent)
	// edit changes the bundle before it is accepted.
	edit func(b *sillbundle.Bundle)
}

// target is a stand-in with its agent.
type target struct {
	id       sillid.TargetID
	pool     sillid.PoolID
	url      string
	metric   string
	standin  *process
	agent    *process
	args     []string
	relay    *relay
	settings *sillsettings.Agent
	instance sillstandplatform.Instance
}

// gateway is a started gateway.
type gateway struct {
	process                *process
	callers, admin, metric string
}

// cluster is a deployment of separate processes.
type cluster struct {
	t           testing.TB
	dir         string
	authority   *silltls.Authority
	operatorKey ed25519.PrivateKey
	platform    *process
	platformURL string
	scorerURL   string
	publisher   *sillbundlestore.Publisher
	targets     []*target
	gateways    []*gateway
	keys        map[sillid.OrganisationID]string
	admin       string
	size        size
}

func newCluster(t testing.TB, s size) *cluster {
	t.Helper()
	c := &cluster{t: t, dir: t.TempDir(), keys: map[sillid.OrganisationID]string{}, admin: sillid.Fresh("admin"), size: s}
	var err error
	c.authority, err = silltls.NewAuthority(time.Now(), time.Hour)
	check(t, err)
	_, c.operatorKey, err = ed25519.GenerateKey(nil)
	check(t, err)
	c.platform, c.platformURL = c.standin("platform", s.platformArgs...)
	_, c.scorerURL = c.standin("scorer")
	c.rollOut()
	for i := range s.engines {
		c.addTarget("engine", "cue-lm", i, sillbundle.ModelRoute, append([]string{"--model", "cue-lm"}, s.engineArgs...))
	}
	for i := range s.services {
		c.addTarget("service", "slot-desk", i, sillbundle.ServiceRoute, nil)
	}
	c.list()
	for range s.gateways {
		c.addGateway()
	}
	return c
}

func check(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// standin starts a stand-in and returns its address.
func (c *cluster) standin(kind string, args ...string) (*process, string) {
	c.t.Helper()
	p, line := start(c.t, "sillstandin", append([]string{kind, "--listen", loopback, "--exit-after", processLife}, args...)...)
	var ready struct {
		URL string `json:"url"`
	}
	check(c.t, json.Unmarshal(line, &ready))
	return p, ready.URL
}

func (c *cluster) rollOut() {
	c.publisher = sillbundlestore.NewPublisher(sillbundlestore.PublisherConfig{
		Table:     silltable.Dial(silltable.Config{BaseURL: c.platformURL, Timeout: time.Second}),
		Objects:   sillobject.Dial(sillobject.Config{BaseURL: c.platformURL, Timeout: time.Second}),
		Operators: sillbundle.Operators{operator: c.operatorKey.Public().(ed25519.PublicKey)},
		Now:       time.Now,
	})
	_, err := c.publisher.Accept(context.Background(), sillbundle.Sign(c.bundle(), 0, operator, c.operatorKey))
	check(c.t, err)
}

// bundle returns the cluster's bundle and makes the organisations' keys.
func (c *cluster) bundle() *sillbundle.Bundle {
	b := &sillbundle.Bundle{
		Zones: []sillbundle.AvailabilityZone{{ID: zone, Region: "region-a"}},
		Pools: []sillbundle.Pool{
			{ID: "cue-lm", Kind: sillbundle.ModelRoute, MaxConcurrent: 16, MinPerZone: 1, MaxPerZone: 8, Utilisation: 0.7, RolloutFloor: 0.2},
			{ID: "slot-desk", Kind: sillbundle.ServiceRoute, MaxConcurrent: 16, MinPerZone: 1, MaxPerZone: 8, Utilisation: 0.7},
		},
		Models: []sillbundle.Model{{ID: "cue-lm", Pool: "cue-lm", ServingFloor: 0.5}},
		Routes: []sillbundle.Route{
			{ID: "cue", PathPrefix: "/cue-lm", Kind: sillbundle.ModelRoute, Pool: "cue-lm", Model: "cue-lm", TimeoutSeconds: 60, MaxBodyBytes: 1 << 20},
			{ID: "slots", PathPrefix: "/slot-desk", Kind: sillbundle.ServiceRoute, Pool: "slot-desk", TimeoutSeconds: 60, MaxBodyBytes: 1 << 20},
		},
		Trainers: []sillbundle.Trainer{{ID: "trainer", Organisation: "hall", Model: "cue-lm", StalenessBound: 2, Weight: 1}},
	}
	for i, id := range []sillid.OrganisationID{"hall", "lounge"} {
		key := sillid.Fresh("key")
		c.keys[id] = key
		b.Organisations = append(b.Organisations, sillbundle.Organisation{
			ID: id, Weight: 2 - i, MaxConcurrent: 256, Routes: []sillid.RouteID{"cue", "slots"},
			Keys: []sillbundle.Key{{Label: "first", Hash: sillbundle.HashKey(key)}},
		})
	}
	if c.size.edit != nil {
		c.size.edit(b)
	}
	return b
}

func (c *cluster) operators() []sillsettings.Operator {
	public := c.operatorKey.Public().(ed25519.PublicKey)
	return []sillsettings.Operator{{Name: string(operator), PublicKey: base64.StdEncoding.EncodeToString(public)}}
}

// inner issues a certificate and returns its files.
func (c *cluster) inner(name string, role silltls.Role) sillsettings.InnerTLS {
	m, err := c.authority.Issue(role, time.Now(), time.Hour)
	check(c.t, err)
	write := func(suffix string, content []byte) string {
		file := filepath.Join(c.dir, name+suffix)
		check(c.t, os.WriteFile(file, content, 0o600))
		return file
	}
	return sillsettings.InnerTLS{
		AuthorityFile:   write(".authority.pem", m.Authority),
		CertificateFile: write(".certificate.pem", m.Certificate),
		KeyFile:         write(".key.pem", m.Key),
	}
}

// settingsFile writes settings and returns the path.
func (c *cluster) settingsFile(name string, settings any) string {
	b, err := json.Marshal(settings)
	check(c.t, err)
	file := filepath.Join(c.dir, name+".json")
	check(c.t, os.WriteFile(file, b, 0o600))
	return file
}

// readyLine is what the programs print when they serve.
type readyLine struct {
	Callers string `json:"callers"`
	Admin   string `json:"admin"`
	Inner   string `json:"inner"`
	Metrics string `json:"metrics"`
}

func (c *cluster) addTarget(kind string, pool sillid.PoolID, i int, route sillbundle.RouteKind, args []string) *target {
	id := sillid.TargetID(fmt.Sprintf("%s-%d", pool, i+1))
	tg := &target{id: id, pool: pool, args: args}
	if first := c.first(pool); first != nil && c.size.oneStandin {
		tg.standin, tg.url = first.standin, first.url
	} else {
		tg.standin, tg.url = c.standin(kind, args...)
	}
	s := sillsettings.DefaultAgent()
	s.Place = sillsettings.Place{Instance: sillid.InstanceID("instance-" + string(id)), Zone: zone}
	s.Listen = sillsettings.AgentListen{Inner: loopback, Metrics: loopback, Weights: loopback}
	s.Inner = c.inner(string(id), silltls.AgentRole)
	s.Target.ID = id
	s.Target.Pool = pool
	s.Target.Kind = route
	s.Target.URL = tg.url
	s.Target.MaxConcurrent = 16
	s.Platform.URL = c.platformURL
	s.Operators = c.operators()
	if c.size.tuneAgent != nil {
		c.size.tuneAgent(s)
	}
	tg.settings = s
	c.targets = append(c.targets, tg)
	c.startAgent(tg)
	return tg
}

// first returns the first target of a pool, or nil.
func (c *cluster) first(pool sillid.PoolID) *target {
	for _, tg := range c.targets {
		if tg.pool == pool {
			return tg
		}
	}
	return nil
}

// startAgent starts the agent of a target, again after an earlier one ended.
func (c *cluster) startAgent(tg *target) {
	c.t.Helper()
	p, line := start(c.t, "wasabisill", "agent", "--settings", c.settingsFile(string(tg.id), tg.settings))
	var ready readyLine
	check(c.t, json.Unmarshal(line, &ready))
	tg.agent = p
	tg.metric = "http://" + ready.Metrics
	address := ready.Inner
	// An agent that starts again listens where it did before.
	tg.settings.Listen.Inner = sillsettings.Address(address)
	if c.size.relays {
		if tg.relay == nil {
			tg.relay = newRelay(c.t, address)
		}
		address = tg.relay.address()
	}
	tg.instance = sillstandplatform.Instance{
		InstanceID: tg.settings.Instance, TargetID: tg.id, Pool: tg.pool, Zone: zone,
		AgentAddress: address, State: sillstandplatform.StateLive,
	}
}

// list tells the platform which instances there are.
func (c *cluster) list() {
	c.t.Helper()
	instances := make([]sillstandplatform.Instance, len(c.targets))
	for i, tg := range c.targets {
		instances[i] = tg.instance
	}
	c.control(c.platformURL+"/standin/instances", map[string]any{"instances": instances, "at-once": true})
}

// control posts a JSON value to a stand-in.
func (c *cluster) control(url string, value any) {
	c.t.Helper()
	b, err := json.Marshal(value)
	check(c.t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	check(c.t, err)
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		text, _ := io.ReadAll(resp.Body)
		c.t.Fatalf("POST %s: status %d: %s", url, resp.StatusCode, text)
	}
}

func (c *cluster) addGateway() *gateway {
	c.t.Helper()
	name := fmt.Sprintf("gateway-%d", len(c.gateways)+1)
	s := sillsettings.DefaultGateway()
	s.Place = sillsettings.Place{Instance: sillid.InstanceID(name), Zone: zone}
	s.Listen = sillsettings.GatewayListen{Callers: loopback, Admin: loopback, Metrics: loopback}
	s.Inner = c.inner(name, silltls.GatewayRole)
	s.Platform.URL = c.platformURL
	s.Scorer.URL = c.scorerURL
	s.Operators = c.operators()
	s.Credentials = []sillsettings.Credential{{Name: "test", Hash: sillbundle.HashKey(c.admin)}}
	if c.size.tune != nil {
		c.size.tune(s)
	}
	p, line := start(c.t, "wasabisill", "gateway", "--settings", c.settingsFile(name, s))
	var ready readyLine
	check(c.t, json.Unmarshal(line, &ready))
	g := &gateway{process: p, callers: "http://" + ready.Callers, admin: "http://" + ready.Admin, metric: "http://" + ready.Metrics}
	c.gateways = append(c.gateways, g)
	return g
}

// eventually waits until f holds.
func eventually(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatalf("did not happen: %s", what)
}
