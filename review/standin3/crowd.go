package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crowdMemoryMB is the memory of a machine.
	crowdMemoryMB = 164
	// crowdBody is the size of the body of an item, and crowdCalls the number of clients that ask one
	// gateway for it at the same time.
	crowdBody  = 2_000_000
	crowdCalls = 150
	crowdTime  = 25 * time.Second
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
			if mb > crowdMemoryMB {
				e.kills[i]++
				killed[pid] = true
				e.world.record.line("front-%d takes %d MB, more than the %d MB of its machine", i+1, mb, crowdMemoryMB)
				e.world.signal(i, syscall.SIGKILL)
			}
			e.mu.Unlock()
		}
	}
}

// playCrowd has a crowd of clients ask for the body of one item.
func playCrowd(dir string, rec *record, trouble bool) (bool, error) {
	w := newWorld(dir, rec, worldConfig{gateways: 3, engines: 3, apps: 3, memoryMB: crowdMemoryMB, events: 23, eventTime: 20 * time.Millisecond})
	w.open()
	if !w.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	e := &enforcer{world: w, kills: make(map[int]int), peaks: make(map[int]int)}
	stop := make(chan struct{})
	defer close(stop)
	go e.run(stop)

	j := newJob(keyA, 1, 1)
	j.Requests[0].Body = make([]byte, crowdBody)
	rec.line("tenant-a submits %s with a body of %d bytes: %v", j.id, crowdBody, w.submit(j, 0, 10*time.Second))
	path := "/-/items/" + j.id + "?id=" + j.Requests[0].ID
	var group sync.WaitGroup
	var calls, given atomic.Int64
	end := time.Now().Add(crowdTime)
	ask := func(gateway int) {
		a := w.call(gateway, http.MethodGet, path, j.key, map[string]string{"X-Request-Id": newID("i")}, nil, 3500*time.Millisecond)
		calls.Add(1)
		if a.err == nil && a.status == http.StatusOK && len(a.body) == crowdBody {
			given.Add(1)
		}
	}
	crowd := 1
	if trouble {
		crowd = crowdCalls
	}
	for gateway := range w.gateways {
		for range crowd {
			group.Go(func() {
				for time.Now().Before(end) {
					ask(gateway)
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	asked, served := 0, 0
	for time.Now().Before(end) {
		asked++
		if a := w.ask(asked%len(w.gateways), keyB); a.status == http.StatusOK {
			served++
		}
		time.Sleep(250 * time.Millisecond)
	}
	group.Wait()
	rec.line("%d calls for the body, %d with the whole body; ordinary requests of tenant-b: %d of %d served", calls.Load(), given.Load(), served, asked)
	e.mu.Lock()
	defer e.mu.Unlock()
	often := 0
	for i := range w.gateways {
		rec.line("front-%d: most memory seen %d MB, ended for its memory %d times", i+1, e.peaks[i], e.kills[i])
		if e.kills[i] >= 3 {
			often++
		}
	}
	return often >= 2, nil
}
