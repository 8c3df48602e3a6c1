package sillprocess

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillloopback"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
)

// newAddress returns a loopback address that nothing else uses.
func newAddress(t *testing.T) string {
	t.Helper()
	address, err := sillloopback.NewAddress()
	check(t, err)
	return address
}

// pageScript returns the commands of an operators' page in order.
func pageScript(t *testing.T, page string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "..", "docs", "operators", page))
	check(t, err)
	var script strings.Builder
	for _, m := range shellBlock.FindAllStringSubmatch(string(text), -1) {
		script.WriteString(m[1])
	}
	return script.String()
}

// runFresh runs a script in a fresh folder; what it leaves running is ended.
func runFresh(t *testing.T, script string, environment ...string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, "sh", "-eu", "-c", script)
	cmd.Dir = t.TempDir()
	cmd.Env = append([]string{"PATH=" + binaries + string(os.PathListSeparator) + os.Getenv("PATH")}, environment...)
	// The script's processes form a group, which ends with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	cmd.Cancel = func() error { return syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	cmd.WaitDelay = time.Second
	out, err := cmd.CombinedOutput()
	_ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL)
	if err != nil {
		logs, _ := filepath.Glob(filepath.Join(cmd.Dir, "*.log"))
		for _, name := range logs {
			text, _ := os.ReadFile(name)
			t.Logf("%s:\n%s", filepath.Base(name), text)
		}
		t.Fatalf("%v\n%s", err, out)
	}
	return string(out)
}

func TestSetupPage(t *testing.T) {
	t.Parallel()
	c := &cluster{t: t}
	_, platform := c.standin("platform")
	_, engine := c.standin("engine", "--model", "cue-lm")
	agent := newAddress(t)
	c.control(platform+"/standin/instances", map[string]any{"at-once": true, "instances": []sillstandplatform.Instance{{
		InstanceID: "instance-1", TargetID: "engine-1", Pool: "cue-lm", Zone: "zone-a",
		AgentAddress: agent, State: sillstandplatform.StateLive,
	}}})
	out := runFresh(t, pageScript(t, "setup.md"),
		"PLATFORM_URL="+platform, "ENGINE_URL="+engine, "AGENT_ADDRESS="+agent,
		"AGENT_METRICS="+newAddress(t), "WEIGHTS_ADDRESS="+newAddress(t),
		"CALLERS_ADDRESS="+newAddress(t), "ADMIN_ADDRESS="+newAddress(t), "GATEWAY_METRICS="+newAddress(t))
	checkPrints(t, out, "the settings are valid", "The bundle is valid.", "Accepted as version 1.", `"finish_reason"`)
}
