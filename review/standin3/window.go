package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// heavyItems is the number of items of the job with large bodies, of heavyBody bytes each, and
	// lightBody the size of the bodies without the disruption.
	heavyItems = 8
	heavyBody  = 2_500_000
	lightBody  = 600
	// heavyEvents and stepEvents are the lengths of the generations of the two jobs.
	heavyEvents = 165
	stepEvents  = 30
	// stepGroups and stepSize are those of a step of the deployment, and stepDeadline is when its
	// trainer gives up.
	stepGroups   = 24
	stepSize     = 4
	stepDeadline = 12 * time.Second
	// maxIdle is how long an item may be at no server, and noBegin the time in which no item began.
	maxIdle = 5 * time.Second
	noBegin = 3 * time.Second
)

// runLog tells when items were at servers, and how many places of the engines were in use.
type runLog struct {
	mu    sync.Mutex
	began map[string]time.Time
}

// playWindow has one tenant run a job with large bodies beside the step of another one.
func playWindow(dir string, rec *record, trouble bool) (bool, error) {
	w := newWorld(dir, rec, worldConfig{gateways: 3, engines: 9, apps: 6, memoryMB: machineMB, events: 23, eventTime: 140 * time.Millisecond})
	runs := &runLog{began: make(map[string]time.Time)}
	for _, s := range w.servers {
		s.onRun = func(id string) {
			runs.mu.Lock()
			defer runs.mu.Unlock()
			if _, ok := runs.began[id]; !ok {
				runs.began[id] = time.Now()
				rec.line("%s begins to run %s", s.id, id)
			}
		}
	}
	w.open()
	if !w.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	warm := newJob(keyB, 6, 4)
	warm.setLength(5)
	w.submit(warm, 1, 10*time.Second)
	if listed, a := w.read(warm, 1, 15*time.Second); len(listed) != len(warm.Requests) {
		return false, fmt.Errorf("a job without trouble was not completed: %v", a)
	}

	heavy := newJob(keyA, heavyItems, 1)
	heavy.setLength(heavyEvents)
	for i := range heavy.Requests {
		size := lightBody
		if trouble {
			size = heavyBody
		}
		heavy.Requests[i].Body = make([]byte, size)
	}
	rec.line("tenant-a submits %s with %d bodies of %d bytes: %v", heavy.id, heavyItems, len(heavy.Requests[0].Body), w.submit(heavy, 0, 20*time.Second))
	time.Sleep(3 * time.Second)

	step := newJob(keyB, stepGroups, stepSize)
	step.setLength(stepEvents)
	for i := range step.Requests {
		step.Requests[i].Body = make([]byte, lightBody)
		step.Requests[i].Scorer.Body = make([]byte, lightBody)
	}
	a := w.submit(step, 1, 10*time.Second)
	submitted := time.Now()
	rec.line("tenant-b submits the step %s with %d items: %v", step.id, len(step.Requests), a)
	// The highest share of the places of the engines that is in use while the step is open.
	highest, slots := 0, 0
	stop, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		for {
			used := 0
			slots = 0
			for _, s := range w.servers {
				if s.model != "" {
					s.mu.Lock()
					used += s.running
					s.mu.Unlock()
					slots += s.slots
				}
			}
			if time.Since(submitted) > time.Second {
				highest = max(highest, used)
			}
			select {
			case <-stop:
				return
			case <-time.After(pollPeriod):
			}
		}
	}()
	listed, last := w.read(step, 1, stepDeadline)
	// The trainer gives up at its deadline, whatever its last call still waits for.
	gaveUp := submitted.Add(min(time.Since(submitted), stepDeadline))
	close(stop)
	<-watched
	rec.line("the step has %d of %d results after %.1f s; last answer %v", len(listed), len(step.Requests), time.Since(submitted).Seconds(), last)
	rec.line("the trainer ends the step: %v", w.end(step, 1))
	rec.line("tenant-a ends its job: %v", w.end(heavy, 0))
	time.Sleep(200 * time.Millisecond)
	runs.mu.Lock()
	defer runs.mu.Unlock()
	begun, idle := 0, 0
	newest := submitted
	for _, it := range step.Requests {
		began, ok := runs.began[it.ID]
		if ok && began.Before(gaveUp) {
			begun++
			if began.After(newest) {
				newest = began
			}
		}
		if (!ok || began.After(gaveUp)) && gaveUp.Sub(submitted) > maxIdle {
			idle++
		}
	}
	rec.line("%d items of the step had begun; %d had been at no server for all of %.1f s", begun, idle, gaveUp.Sub(submitted).Seconds())
	rec.line("the last item began %.1f s before the trainer gave up; %d of %d places of the engines were in use at most", gaveUp.Sub(newest).Seconds(), highest, slots)
	ranOut := len(listed) < len(step.Requests)*9/10
	return a.status == http.StatusAccepted && ranOut && idle > 0 && begun > 0 && 2*highest < slots && gaveUp.Sub(newest) >= noBegin, nil
}

// setLength sets the number of events of the items of a job.
func (j *job) setLength(events int) {
	for i := range j.Requests {
		j.Requests[i].Headers["X-Length-Hint"] = strconv.Itoa(events)
	}
}
