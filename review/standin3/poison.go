package main

import (
	"errors"
	"net/http"
	"time"
)

// errNotReady is the error of a deployment that does not start.
var errNotReady = errors.New("the gateways did not become ready")

const (
	// poisonTarget is the target_count of the job of the client that does not behave, and soundTarget that of one that does.
	poisonTarget = -3
	soundTarget  = 2
	// watchTime is how long the deployment is watched.
	watchTime = 25 * time.Second
)

// playPoison has one tenant submit a job with a target_count below zero, and counts the processes
// that end by themselves, and what becomes of the job of another tenant.
func playPoison(dir string, rec *record, trouble bool) (bool, error) {
	w := newWorld(dir, rec, worldConfig{gateways: 3, engines: 3, apps: 3, memoryMB: 164, events: 23, eventTime: 20 * time.Millisecond})
	w.open()
	if !w.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	before := newJob(keyB, 2, 4)
	rec.line("tenant-b submits %s with %d items: %v", before.id, len(before.Requests), w.submit(before, 0, 10*time.Second))
	listed, a := w.read(before, 0, 15*time.Second)
	rec.line("%s has %d of %d results; last answer %v", before.id, len(listed), len(before.Requests), a)
	if len(listed) != len(before.Requests) {
		return false, errors.New("a job without trouble was not completed")
	}

	for i, m := range []string{model, otherModel} {
		odd := newJob(keyA, 2, 2)
		odd.useModel(m)
		odd.TargetCount = soundTarget
		if trouble {
			odd.TargetCount = poisonTarget
		}
		a = w.call(i, http.MethodPost, jobPath+odd.id, odd.key, map[string]string{"X-Request-Id": odd.id, "Content-Type": "application/json"}, encode(odd), 4*time.Second)
		rec.line("tenant-a submits %s of model %s with target_count %d and %d items: %v", odd.id, odd.Model, odd.TargetCount, len(odd.Requests), a)
	}

	other := newJob(keyB, 2, 4)
	a = w.submit(other, 1, 10*time.Second)
	rec.line("tenant-b submits %s with %d items: %v", other.id, len(other.Requests), a)
	asked, served := 0, 0
	done := make(chan int, 1)
	go func() {
		listed, last := w.read(other, 1, watchTime)
		rec.line("%s has %d of %d results; last answer %v", other.id, len(listed), len(other.Requests), last)
		done <- len(listed)
	}()
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		asked++
		if a := w.ask(asked%len(w.gateways), keyB); a.status == http.StatusOK {
			served++
		}
	}
	complete := <-done
	ends := make(map[string]int)
	for _, name := range w.ends() {
		ends[name]++
	}
	rec.line("ordinary requests of tenant-b in %v: %d of %d served", watchTime, served, asked)
	machines, often := 0, 0
	for name, n := range ends {
		rec.line("%s: its process ended by itself %d times", name, n)
		machines++
		if n >= 3 {
			often++
		}
	}
	rec.line("%d of %d machines with processes that ended by themselves, %d of them three times or more", machines, len(w.gateways), often)
	rec.line("tenant-b has %d of %d results of a job that was accepted", complete, len(other.Requests))
	// Two machines at least, three times each.
	return often >= 2, nil
}
