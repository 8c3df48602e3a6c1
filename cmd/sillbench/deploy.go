package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillload"
	"github.com/wasabisill/wasabisill/internal/sillloadprocess"
	"github.com/wasabisill/wasabisill/internal/sillreport"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// deployed is a deployment that this program started.
type deployed struct {
	deployment sillload.Deployment
	processes  *sillloadprocess.Set
	scorer     string
	// privateDir holds settings and keys; it is removed at the end.
	privateDir string
	// readyURLs are the readiness endpoints by process.
	readyURLs map[string]string
}

// standinLifetime is the time after which a stand-in ends by itself, if this program
// has not stopped it.
const standinLifetime = 2 * time.Hour

// directoryMode lets other users read the results of a run.
const directoryMode = 0o755

// deploy starts the stand-ins and the product's processes of a scenario. After an
// error it returns the processes that it has started, so that they can be stopped.
func deploy(ctx context.Context, f *runFlags, s *sillload.Scenario) (*deployed, error) {
	logs := filepath.Join(f.out, "logs")
	if err := os.MkdirAll(logs, directoryMode); err != nil {
		return nil, eris.Wrap(err, "deploy: logs")
	}
	privateDir, err := os.MkdirTemp("", "sillbench-")
	if err != nil {
		return nil, eris.Wrap(err, "deploy: settings")
	}
	d := &deployed{
		processes:  sillloadprocess.New(sillloadprocess.Config{LogDir: logs}),
		privateDir: privateDir,
		readyURLs:  map[string]string{},
	}
	d.deployment = sillload.Deployment{
		Keys:     map[sillid.OrganisationID]string{},
		Engines:  map[sillid.TargetID]string{},
		Services: map[sillid.TargetID]string{},
	}
	if err := d.startStandins(ctx, f.standin, s); err != nil {
		return d, err
	}
	p, err := newProduct(d, f.product, s)
	if err != nil {
		return d, err
	}
	return d, p.start(ctx)
}

// stop ends every process and removes the private files.
func (d *deployed) stop() {
	d.processes.Stop()
	// Files that cannot be removed stay in the system's directory for temporary files.
	_ = os.RemoveAll(d.privateDir)
}

func (d *deployed) startStandins(ctx context.Context, program string, s *sillload.Scenario) error {
	start := func(name string, args ...string) (string, error) {
		args = append(args, "--listen", "127.0.0.1:0", "--exit-after", standinLifetime.String())
		line, err := d.processes.Start(ctx, sillloadprocess.Command{Name: name, Path: program, Args: args, Ready: true})
		return line.URL, err
	}
	var err error
	if d.deployment.Platform, err = start("platform", "platform", "--check-fencing", "--instance-lag", "1s", "--start-delay", "5s", "--stop-delay", "2s"); err != nil {
		return err
	}
	if d.scorer, err = start("scorer", "scorer"); err != nil {
		return err
	}
	for i := range s.Model.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		url, err := start(name, engineArgs(s)...)
		if err != nil {
			return err
		}
		d.deployment.Engines[sillid.TargetID(name)] = url
	}
	for i := range s.Service.Services {
		name := fmt.Sprintf("service-%d", i+1)
		url, err := start(name, "service", "--service-id", name,
			"--latency", milliseconds(s.Service.LatencyMS), "--slots", fmt.Sprint(s.Service.Slots))
		if err != nil {
			return err
		}
		d.deployment.Services[sillid.TargetID(name)] = url
	}
	return nil
}

func engineArgs(s *sillload.Scenario) []string {
	m := s.Model
	args := []string{
		"engine", "--model", string(m.Model), "--weight-version", fmt.Sprint(firstVersion),
		"--slots", fmt.Sprint(m.Slots), "--tokens-per-second", fmt.Sprint(m.TokensPerSecond),
		"--slowdown", fmt.Sprint(m.Slowdown), "--swap-time", milliseconds(m.SwapMS),
		"--load-lag", milliseconds(m.LoadLagMS), "--event-lag", milliseconds(m.LoadLagMS),
	}
	if m.ChecksFencing {
		args = append(args, "--check-fencing")
	}
	return args
}

func milliseconds(n int) string {
	return (time.Duration(n) * time.Millisecond).String()
}

// setInstances sets the instances that the platform lists, without its delay.
func (d *deployed) setInstances(ctx context.Context, instances []sillstandplatform.Instance) error {
	body, err := json.Marshal(map[string]any{"instances": instances, "at-once": true})
	if err != nil {
		return eris.Wrap(err, "setInstances")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.deployment.Platform+"/standin/instances", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "setInstances")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrap(err, "setInstances")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return eris.Errorf("setInstances: status %d", resp.StatusCode)
	}
	return nil
}

// Bounds of the wait for the product's processes.
const (
	readyTimeout      = 30 * time.Second
	readyPollInterval = 100 * time.Millisecond
)

// awaitReady waits until every process reports that it is ready.
func (d *deployed) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for name, url := range d.readyURLs {
		for !isReady(ctx, url) {
			select {
			case <-ctx.Done():
				return eris.Errorf("awaitReady: %s was not ready in %s: read its log", name, readyTimeout)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// signal executes a step of the fault schedule on a process.
func (d *deployed) signal(ctx context.Context, action, name string) error {
	switch action {
	case sillload.ActionKill:
		return d.processes.Signal(name, syscall.SIGKILL)
	case sillload.ActionFreeze:
		return d.processes.Signal(name, syscall.SIGSTOP)
	case sillload.ActionContinue:
		return d.processes.Signal(name, syscall.SIGCONT)
	case sillload.ActionRestart:
		return d.processes.Restart(ctx, name)
	}
	return eris.Errorf("signal: unknown action %q", action)
}

// uses returns the resources that the processes have used so far.
func (d *deployed) uses() []sillreport.ProcessUse {
	var all []sillreport.ProcessUse
	for _, u := range d.processes.Uses() {
		all = append(all, sillreport.ProcessUse{
			Name: u.Name, Role: strings.TrimRight(u.Name, "-0123456789"),
			CPUSeconds: u.CPU.Seconds(), PeakBytes: u.PeakBytes,
		})
	}
	return all
}
