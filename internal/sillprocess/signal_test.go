package sillprocess

import (
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

func TestSignalsInSeriesCutNoRequest(t *testing.T) {
	for _, tc := range []struct {
		name    string
		signals []syscall.Signal
	}{
		{"hangup", []syscall.Signal{syscall.SIGHUP}},
		{"hangups", []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP}},
		{"two terminations", []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM}},
		{"hangup after termination", []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}},
		{"mixed", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, size{services: 1, gateways: 1, tune: func(s *sillsettings.Gateway) { s.Control.StopNotice = 1 }})
			c.awaitServing()
			c.slowBookings(time.Second)
			done := c.later(c.gateways[0], booking(`{"room":1}`))
			time.Sleep(300 * time.Millisecond)
			for _, s := range tc.signals {
				for _, p := range []*process{c.gateways[0].process, c.targets[0].agent} {
					p.signal(s)
				}
				time.Sleep(20 * time.Millisecond)
			}
			checkStatus(t, await(t, done), http.StatusCreated)
		})
	}
}

func TestHangupChecksTheSettings(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 1, gateways: 1})
	c.awaitServing()
	tg := c.targets[0]
	tg.agent.signal(syscall.SIGHUP)
	c.awaitLine(tg.agent, "Read the settings again.")
	tg.settings.Target.URL = "no address"
	c.settingsFile(string(tg.id), tg.settings)
	tg.agent.signal(syscall.SIGHUP)
	c.awaitLine(tg.agent, "Settings have faults")
	checkStatus(t, c.send(c.gateways[0], booking(`{"room":1}`)), http.StatusCreated)
}

// awaitLine waits until the log of a process holds a text.
func (c *cluster) awaitLine(p *process, text string) {
	c.t.Helper()
	eventually(c.t, "the log holds "+text, func() bool { return strings.Contains(p.log.String(), text) })
}

func TestLostLogReaderEndsNoProcess(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 1, gateways: 1})
	tg := c.targets[0]
	tg.agent.terminate(t)
	reader, writer, err := os.Pipe()
	check(t, err)
	cmd := exec.Command(filepath.Join(binaries, "wasabisill"), "agent", "--settings", c.settingsFile(string(tg.id), tg.settings))
	cmd.Stderr = writer
	check(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	check(t, writer.Close())
	c.awaitServing()
	c.slowBookings(500 * time.Millisecond)
	done := c.later(c.gateways[0], booking(`{"room":1}`))
	time.Sleep(200 * time.Millisecond)
	check(t, reader.Close())
	// The SIGHUP makes the agent log a line.
	check(t, cmd.Process.Signal(syscall.SIGHUP))
	checkStatus(t, await(t, done), http.StatusCreated)
}
