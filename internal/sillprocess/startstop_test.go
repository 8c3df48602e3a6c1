package sillprocess

import (
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

func TestTerminationDuringTheStartEndsInOrder(t *testing.T) {
	t.Parallel()
	c := newCluster(t, size{services: 1})
	tg := c.targets[0]
	tg.agent.terminate(t)
	c.tableFaults(map[string]any{"slow-ms": 700})
	cmd := exec.Command(filepath.Join(binaries, "wasabisill"), "agent", "--settings", c.settingsFile(string(tg.id), tg.settings))
	log := &output{}
	cmd.Stderr = log
	check(t, cmd.Start())
	time.Sleep(300 * time.Millisecond)
	check(t, cmd.Process.Signal(syscall.SIGTERM))
	if err := cmd.Wait(); err != nil {
		t.Errorf("the agent ended with %v: %s", err, log)
	}
}
