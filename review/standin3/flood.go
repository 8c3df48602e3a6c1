package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// floodClients is the number of clients that ask each gateway for jobs that do not exist.
	floodClients = 100
	// floodPause is the time between two calls of a client.
	floodPause = 5 * time.Millisecond
	floodTime  = 42 * time.Second
	// configApply is the bound config_apply_ms of the settings.
	configApply = 2 * time.Second
	// changePeriod is the time between two versions of the configuration.
	changePeriod = 6 * time.Second
)

// playFlood has clients ask for jobs that do not exist, and looks how long versions of the
// configuration take until they are in force.
func playFlood(dir string, rec *record, trouble bool) (bool, error) {
	w := newWorld(dir, rec, worldConfig{gateways: 3, engines: 3, apps: 3, memoryMB: 164, events: 23, eventTime: 20 * time.Millisecond})
	w.open()
	if !w.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	time.Sleep(3 * time.Second)
	end := time.Now().Add(floodTime)
	var group sync.WaitGroup
	var calls, missing, refused atomic.Int64
	if trouble {
		transport := &http.Transport{MaxIdleConnsPerHost: floodClients}
		flooder := &http.Client{Transport: transport, Timeout: 3 * time.Second}
		for gateway := range w.gateways {
			for range floodClients {
				group.Go(func() {
					for time.Now().Before(end) {
						status := w.look(flooder, gateway)
						calls.Add(1)
						time.Sleep(floodPause)
						switch status {
						case http.StatusNotFound:
							missing.Add(1)
						case http.StatusServiceUnavailable:
							refused.Add(1)
						}
					}
				})
			}
		}
	}
	broken := 0
	for version := 2; time.Now().Before(end.Add(-changePeriod)); version++ {
		prefix := fmt.Sprintf("/added%d/", version)
		w.changeConfig(version, prefix)
		acknowledged := time.Now()
		rec.line("the operator writes version %d with the route %s", version, prefix)
		late := 0
		for time.Since(acknowledged) < changePeriod {
			for gateway := range w.gateways {
				sent := time.Since(acknowledged)
				a := w.call(gateway, http.MethodPost, prefix+"x", keyB, map[string]string{"X-Request-Id": newID("n"), "X-Deadline-Ms": "1000"}, []byte("question"), time.Second)
				if a.status == http.StatusNotFound && sent > configApply {
					late++
					rec.line("front-%d answers 404 to a request on %s sent %.3f s after the acknowledgement", gateway+1, prefix, sent.Seconds())
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		broken += late
	}
	group.Wait()
	served, refusedReads, refusedWrites := w.store.counts()
	rec.line("flood: %d calls, %d answered 404, %d answered 503", calls.Load(), missing.Load(), refused.Load())
	rec.line("store: %d reads served, %d reads and %d writes beyond the rates", served, refusedReads, refusedWrites)
	rec.line("%d requests on routes that were there refused with 404 later than config_apply_ms", broken)
	return broken > 0, nil
}

// look asks for a job that does not exist, and returns the status of the answer.
func (w *world) look(c *http.Client, gateway int) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+w.gateways[gateway]+"/-/lots/"+newID("x")+"?after=0", http.NoBody)
	must(err)
	r.Host = hostName
	r.Header.Set("Api-Key", keyA)
	resp, err := c.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// changeConfig writes a version of the configuration that adds a route.
func (w *world) changeConfig(version int, prefix string) {
	config := w.config([]map[string]any{{"name": "r-added" + prefix, "host": hostName, "path_prefix": prefix, "kind": "safe", "timeout_ms": 2000, "target_latency_ms": 150, "priority": 2, "service": appName, "max_attempts": 2, "anonymous": false}})
	config["version"] = version
	w.store.put(operatorTable, "config", config)
}
