package main

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// largeBody is the size of the body of the only item of a large job, and largeJobs their number.
	largeBody = 24_000_000
	largeJobs = 18
	// smallBody is the size without the disruption, and submitTime how long a client tries to submit a job.
	smallBody  = 600
	submitTime = 20 * time.Second
	// bodiesTime is how long the deployment is watched.
	bodiesTime = 80 * time.Second
)

// playBodies has a tenant submit jobs of one item with a large body each, one after the other.
func playBodies(dir string, rec *record, trouble bool) (bool, error) {
	w := newWorld(dir, rec, worldConfig{gateways: 3, engines: 3, apps: 3, memoryMB: machineMB, events: 165, eventTime: 100 * time.Millisecond})
	w.open()
	if !w.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	e := &enforcer{world: w, kills: make(map[int]int), peaks: make(map[int]int)}
	stop := make(chan struct{})
	defer close(stop)
	go e.run(stop)
	began := time.Now()
	var group sync.WaitGroup
	var accepted, complete atomic.Int64
	for first := range w.gateways {
		group.Go(func() {
			for i := first; i < largeJobs; i += len(w.gateways) {
				j := newJob(keyA, 1, 1)
				if i%2 == 1 {
					j.useModel(otherModel)
				}
				size := smallBody
				if trouble {
					size = largeBody
				}
				j.Requests[0].Body = make([]byte, size)
				a := w.submit(j, first, submitTime)
				rec.line("tenant-a submits %s of model %s with a body of %d bytes, first at front-%d: %v", j.id, j.Model, size, first+1, a)
				j.Requests[0].Body = nil
				if a.status != http.StatusAccepted {
					continue
				}
				accepted.Add(1)
				group.Go(func() {
					listed, last := w.read(j, i, bodiesTime-time.Since(began))
					rec.line("%s has %d of 1 results; last answer %v", j.id, len(listed), last)
					complete.Add(int64(len(listed)))
				})
			}
		})
	}
	asked, served := 0, 0
	for time.Since(began) < bodiesTime {
		asked++
		if a := w.ask(asked%len(w.gateways), keyB); a.status == http.StatusOK {
			served++
		}
		time.Sleep(250 * time.Millisecond)
	}
	group.Wait()
	rec.line("%d jobs accepted with 202, %d of them complete; ordinary requests of tenant-b: %d of %d served", accepted.Load(), complete.Load(), served, asked)
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
