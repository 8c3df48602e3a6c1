package main

import (
	"bytes"
	"errors"
	"net/http"
	"sync/atomic"
	"time"
)

var errNotAccepted = errors.New("the job was not accepted")

// start starts a deployment with two servers and gateways of the given names.
func (d *deployment) start(spoil func(item string, firstEvent int) int, gateways ...string) error {
	models := []string{"model-0"}
	for _, id := range []string{"i-one", "i-two"} {
		s := &server{id: id, service: "cue-lm", models: models}
		if id == "i-one" {
			s.spoil = spoil
		}
		if err := d.addServer(s); err != nil {
			return err
		}
	}
	for _, name := range gateways {
		if err := d.addGateway(name); err != nil {
			return err
		}
	}
	d.putConfig(3, models, "first")
	return d.awaitGateways()
}

// spoiledEvent: one of two servers spoils one event of one of its answers, and breaks that
// answer off. Everything is calm afterwards. The job must be readable at the end.
func spoiledEvent(d *deployment, trouble bool) (int, error) {
	var spoiled atomic.Bool
	const spoiledNumber = 4
	spoil := func(string, int) int {
		if trouble && !spoiled.Swap(true) {
			return spoiledNumber
		}
		return 0
	}
	if err := d.start(spoil, "front-a-1", "front-a-2"); err != nil {
		return cantRun, err
	}
	j := newJob("5a01", "first", "model-0", 120)
	if !d.submitUntilAccepted(d.gateways[0], j, 5*time.Second) {
		return cantRun, errNotAccepted
	}
	// A trainer reads until its deadline of 12 s, at any gateway.
	var all []result
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end) && len(all) < len(j.Items); time.Sleep(500 * time.Millisecond) {
		g := d.gateways[0]
		if status, p := d.read(g, j.ID, len(all)); status == http.StatusOK {
			all = append(all, p.Results...)
		}
	}
	time.Sleep(14 * time.Second)
	d.log.note("the day has ended: the job is read from the start, at each gateway, again after each failure, for 10 s")
	for _, g := range d.gateways {
		if len(d.readAll(g, j, 10*time.Second)) == len(j.Items) {
			d.log.note("all %d results were read at %s", len(j.Items), g.name)
			return held, nil
		}
	}
	d.log.note("LOST: the job can't be read at the end of the day")
	return broken, nil
}

// newRoute: the operator adds a batch route, and a trainer submits a job on it.
// Before that, the connection on which one gateway follows the operator's rows goes silent.
func newRoute(d *deployment, trouble bool) (int, error) {
	var stalled atomic.Bool
	began := make(chan struct{})
	var armed atomic.Bool
	d.store.silent = func(caller, table string) bool {
		if caller != "front-a-2" || table != "op" || !armed.Load() || stalled.Swap(true) {
			return false
		}
		close(began)
		if trouble {
			d.log.note("the connection on which %s follows the operator's rows goes silent", caller)
		}
		return trouble
	}
	if err := d.start(nil, "front-a-1", "front-a-2"); err != nil {
		return cantRun, err
	}
	armed.Store(true)
	select {
	case <-began:
	case <-time.After(5 * time.Second):
		return cantRun, errors.New("the gateway does not follow the operator's rows")
	}
	d.putConfig(5, []string{"model-0"}, "first", "second")
	time.Sleep(100 * time.Millisecond)
	j := newJob("5b02", "second", "model-0", 24)
	if !d.submitUntilAccepted(d.gateways[0], j, 5*time.Second) {
		return cantRun, errNotAccepted
	}
	all := d.readAll(d.gateways[0], j, 20*time.Second)
	aborted := 0
	for _, r := range all {
		if r.State != "completed" || r.Text != text(r.ID) {
			aborted++
		}
	}
	d.log.note("%d of %d results were read, %d of them aborted or wrong", len(all), len(j.Items), aborted)
	if aborted > 0 {
		d.log.note("MIXED: items are aborted, though no server answered 422 or 500, max_wait_s is 40 s, and neither the job nor its route has ended")
		return broken, nil
	}
	if len(all) < len(j.Items) {
		return cantRun, errors.New("results are missing")
	}
	return held, nil
}

// splitHeader: a client puts a line break into a header of one item, with a whole other
// request behind it. Another item says in a header that its body comes in chunks, and its
// body holds the end of the chunks and a whole other request.
func splitHeader(d *deployment, trouble bool) (int, error) {
	if err := d.start(nil, "front-a-1"); err != nil {
		return cantRun, err
	}
	j := newJob("5c03", "first", "model-0", 4)
	note := "plain"
	if trouble {
		note = "a\r\nContent-Length: 0\r\n\r\nPOST /first/inside HTTP/1.1\r\nHost: " + host +
			"\r\nX-Request-Id: 5c03inside\r\nX-Tenant: tenant-b\r\nX-Rest: b"
	}
	j.Items[1].Headers["X-Note"] = note
	if trouble {
		j.Items[2].Headers["Transfer-Encoding"] = "chunked"
		j.Items[2].Body = []byte("0\r\n\r\nPOST /first/body HTTP/1.1\r\nHost: " + host +
			"\r\nX-Request-Id: 5c03body\r\nX-Tenant: tenant-b\r\nContent-Length: 0\r\n\r\n")
	}
	sent := map[string]bool{}
	for _, it := range j.Items {
		sent[it.ID] = true
	}
	if !d.submitUntilAccepted(d.gateways[0], j, 5*time.Second) {
		if !trouble {
			return cantRun, errNotAccepted
		}
		d.log.note("the job was refused")
	}
	d.readAll(d.gateways[0], j, 10*time.Second)
	verdict := held
	for _, r := range d.log.allRuns() {
		if !sent[r.Request] || r.Tenant != tenant {
			d.log.note("UNASKED: server %s ran %q for tenant %q, which nobody sent", r.Server, r.Request, r.Tenant)
			verdict = broken
		}
	}
	return verdict, nil
}

// largeJob: a trainer submits a job of 2,048 items, and the gateway that runs it is killed
// once. The links of the gateways are as narrow as those of the smallest machines.
func largeJob(d *deployment, trouble bool) (int, error) {
	d.small, eventTime = true, 5*time.Millisecond
	if err := d.start(nil, "front-a-1", "front-a-2"); err != nil {
		return cantRun, err
	}
	const items, itemBytes = 2048, 2800
	j := newJob("5d04", "first", "model-0", items)
	for i := range j.Items {
		id := j.Items[i].ID + " "
		j.Items[i].Body = bytes.Repeat([]byte(id), itemBytes/len(id))
	}
	owner, other := d.gateways[1], d.gateways[0]
	if !d.submitUntilAccepted(owner, j, 10*time.Second) {
		return cantRun, errNotAccepted
	}
	accepted := time.Now()
	time.Sleep(1500 * time.Millisecond)
	begun := len(d.log.allRuns())
	d.log.note("%d runs have begun", begun)
	if trouble {
		if err := d.kill(owner); err != nil {
			return cantRun, err
		}
	}
	const deadline = 12 * time.Second
	all := d.readAll(other, j, time.Until(accepted.Add(deadline)))
	d.log.note("at the deadline of the step, %v after the 202, %d of %d results were read", deadline, len(all), len(j.Items))
	last := d.log.lastRun()
	idle := time.Since(last)
	d.log.note("the last run began %.1f s ago", idle.Seconds())
	// The deployment counts as calm 4 s after the kill.
	if begun > 0 && len(all) < len(j.Items) && idle > 5*time.Second && time.Since(accepted) > 11*time.Second {
		d.log.note("LOST: the step runs out of time, and items that no server has finished have been at no server for 5 s of steady state")
		// What becomes of the job is no part of the verdict.
		all = d.readAll(other, j, 20*time.Second)
		d.log.note("20 s later %d results were read, and the last run began %.1f s ago", len(all), time.Since(d.log.lastRun()).Seconds())
		return broken, nil
	}
	return held, nil
}
