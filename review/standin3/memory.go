package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// machineMB is the memory of a machine.
	machineMB = 164
	// watchPeriod is the time between two looks at the memory of the processes.
	watchPeriod = 20 * time.Millisecond
)

// memoryMB returns what a process takes of its machine's memory; 0 if it has ended.
func memoryMB(pid int, field string) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for l := range strings.Lines(string(b)) {
		if rest, ok := strings.CutPrefix(l, field+":"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// enforcer kills processes that take more than the memory of their machine, as the platform does.
type enforcer struct {
	world *world

	mu    sync.Mutex
	kills map[int]int
	peaks map[int]int
}

func (e *enforcer) run(stop <-chan struct{}) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	killed := make(map[int]bool)
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for i := range e.world.gateways {
			pid := e.world.pid(i)
			if pid <= 1 || killed[pid] {
				continue
			}
			mb := memoryMB(pid, "RssAnon")
			e.mu.Lock()
			e.peaks[i] = max(e.peaks[i], mb)
			if mb > machineMB {
				e.kills[i]++
				killed[pid] = true
				e.world.record.line("front-%d takes %d MB, more than the %d MB of its machine", i+1, mb, machineMB)
				e.world.signal(i, syscall.SIGKILL)
			}
			e.mu.Unlock()
		}
	}
}
