// Package sillloadprocess starts the processes of a deployment under test, acts
// on them and ends them. Only the load tool uses it: the product starts no
// process.
package sillloadprocess

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// Command is one process to start.
type Command struct {
	// Name is unique in the deployment, as "gateway-1".
	Name string `json:"name"`
	// Path is the program, Args its arguments.
	Path string   `json:"path"`
	Args []string `json:"args"`
	// Ready is whether the program prints a JSON object on a line of stdout once
	// it listens; the start waits for it.
	Ready bool `json:"ready"`
}

// ReadyLine is the line that a program prints when it listens.
type ReadyLine struct {
	// URL is the base URL of a stand-in.
	URL string `json:"url"`
}

// Config holds what a set of processes needs.
type Config struct {
	// LogDir takes one file of stdout and stderr for each process.
	LogDir string
	// ReadyTime bounds the wait for a ready line; 0 stands for 20 s.
	ReadyTime time.Duration
}

const (
	defaultReadyTime = 20 * time.Second
	// stopTime is the time between SIGTERM and SIGKILL at the end.
	stopTime = 5 * time.Second
)

// Set is a set of processes that this program started.
type Set struct {
	cfg   Config
	group *sillgroup.Group

	mu        sync.Mutex
	processes map[string]*process
	order     []string
}

// process is one start of a command.
type process struct {
	command Command
	cmd     *exec.Cmd
	// ended is closed once the process was waited for.
	ended chan struct{}
	log   *os.File
	// stdout is closed at a kill, since a child of the process may hold it open.
	stdout io.Closer
}

// New returns an empty set. Stop ends it.
func New(cfg Config) *Set {
	if cfg.ReadyTime == 0 {
		cfg.ReadyTime = defaultReadyTime
	}
	return &Set{cfg: cfg, group: sillgroup.New(context.Background()), processes: map[string]*process{}}
}

// Start starts a command, waits until it is ready and returns its ready line.
func (s *Set) Start(ctx context.Context, c Command) (ReadyLine, error) {
	log, err := os.Create(filepath.Join(s.cfg.LogDir, c.Name+".log"))
	if err != nil {
		return ReadyLine{}, eris.Wrap(err, "sillloadprocess.Start")
	}
	cmd := exec.Command(c.Path, c.Args...) //nolint:forbidigo // The load tool starts the processes under test.
	cmd.Stderr = log
	// The process ends with this one, however this one ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return ReadyLine{}, eris.Wrap(err, "sillloadprocess.Start")
	}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return ReadyLine{}, eris.Wrapf(err, "sillloadprocess.Start: %s", c.Name)
	}
	p := &process{command: c, cmd: cmd, ended: make(chan struct{}), log: log, stdout: stdout}
	s.add(p)
	ready := make(chan ReadyLine, 1)
	s.group.Go(func(context.Context) { p.watch(stdout, ready) })
	if !c.Ready {
		return ReadyLine{}, nil
	}
	return s.await(ctx, p, ready)
}

func (s *Set) await(ctx context.Context, p *process, ready chan ReadyLine) (ReadyLine, error) {
	t := time.NewTimer(s.cfg.ReadyTime)
	defer t.Stop()
	select {
	case line := <-ready:
		return line, nil
	case <-p.ended:
		return ReadyLine{}, eris.Errorf("sillloadprocess.Start: %s ended before it was ready: read %s", p.command.Name, p.log.Name())
	case <-t.C:
		return ReadyLine{}, eris.Errorf("sillloadprocess.Start: %s was not ready in %s: read %s", p.command.Name, s.cfg.ReadyTime, p.log.Name())
	case <-ctx.Done():
		return ReadyLine{}, eris.Wrap(ctx.Err(), "sillloadprocess.Start")
	}
}

func (s *Set) add(p *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, again := s.processes[p.command.Name]; !again {
		s.order = append(s.order, p.command.Name)
	}
	s.processes[p.command.Name] = p
}

// watch copies stdout to the log, reports the ready line and waits for the end.
func (p *process) watch(stdout io.Reader, ready chan<- ReadyLine) {
	lines := bufio.NewReader(stdout)
	for {
		line, err := lines.ReadBytes('\n')
		// A log that cannot be written does not stop the test.
		_, _ = p.log.Write(line)
		var r ReadyLine
		if json.Unmarshal(line, &r) == nil {
			select {
			case ready <- r:
			default:
			}
		}
		if err != nil {
			break
		}
	}
	// The exit code of a process that was killed tells nothing.
	_ = p.cmd.Wait()
	_ = p.log.Close()
	close(p.ended)
}

func (s *Set) named(name string) (*process, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.processes[name]
	if !ok {
		return nil, eris.Errorf("sillloadprocess.named: %q was not started by this program", name)
	}
	return p, nil
}

// Signal sends a signal to a process that this set started.
func (s *Set) Signal(name string, signal syscall.Signal) error {
	p, err := s.named(name)
	if err != nil {
		return err
	}
	select {
	case <-p.ended:
		return eris.Errorf("sillloadprocess.Signal: %s has ended", name)
	default:
	}
	return eris.Wrapf(p.cmd.Process.Signal(signal), "sillloadprocess.Signal: %s", name)
}

// Restart kills a process and starts its command again.
func (s *Set) Restart(ctx context.Context, name string) error {
	p, err := s.named(name)
	if err != nil {
		return err
	}
	p.kill()
	_, err = s.Start(ctx, p.command)
	return err
}

func (p *process) kill() {
	// A process that has ended cannot be killed, which is as well.
	_ = p.cmd.Process.Kill()
	_ = p.stdout.Close()
	<-p.ended
}

// Continue resumes every suspended process.
func (s *Set) Continue() {
	for _, p := range s.all() {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

func (s *Set) all() []*process {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []*process
	for _, name := range s.order {
		all = append(all, s.processes[name])
	}
	return all
}

// Stop ends every process, the last started first, and waits for them.
func (s *Set) Stop() {
	s.Continue()
	all := s.all()
	for i := len(all) - 1; i >= 0; i-- {
		_ = all[i].cmd.Process.Signal(syscall.SIGTERM)
	}
	limit := time.NewTimer(stopTime)
	defer limit.Stop()
	for _, p := range all {
		select {
		case <-p.ended:
		case <-limit.C:
			// Out of time for all that are left.
			limit.Reset(0)
			p.kill()
		}
	}
	s.group.Stop()
}
