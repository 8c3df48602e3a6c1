package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
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
	d.link, eventTime = 60, 5*time.Millisecond
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

// lateWrite loses the answer of one write of a gateway, and has the write carried out once
// another gateway has written a part of the same job, 1 to 6 s later.
type lateWrite struct {
	log   *record
	first string
	due   chan struct{}

	mu     sync.Mutex
	lostAt time.Time
	// writes counts the large writes of each gateway. done is whether the write is due.
	writes map[string]int
	done   bool
}

const (
	// largeWrite tells the writes of a job's items from others, in bytes.
	largeWrite = 400_000
	// lostWrite is the number of the write whose answer is lost; it is carried out after
	// the other gateway's write with the number laterWrite.
	lostWrite, laterWrite = 2, 4
	minLate, maxLate      = time.Second, 6 * time.Second
)

// observe returns a channel for the write that gets no answer, and nil for others.
func (l *lateWrite) observe(caller string, txn *wireTxn) <-chan struct{} {
	size := 0
	for i := range txn.Writes {
		size += len(txn.Writes[i].Value)
	}
	if size < largeWrite {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.writes == nil {
		l.writes = make(map[string]int)
	}
	l.writes[caller]++
	l.log.note("%s writes %d rows with %d bytes", caller, len(txn.Writes), size)
	switch {
	case caller == l.first && l.writes[caller] == lostWrite:
		l.log.note("this write gets no answer, and is carried out later")
		l.lostAt = time.Now()
		time.AfterFunc(maxLate, l.carryOut)
		return l.due
	case caller != l.first && l.writes[caller] == laterWrite && !l.lostAt.IsZero():
		time.AfterFunc(max(0, minLate-time.Since(l.lostAt)), l.carryOut)
	}
	return nil
}

func (l *lateWrite) carryOut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return
	}
	l.done = true
	l.log.note("the write without an answer is carried out, %.1f s after it was sent", time.Since(l.lostAt).Seconds())
	close(l.due)
}

// sentTwice: a trainer submits a job that takes several writes. One write gets no answer and
// is carried out late, so that the first gateway answers 502 and the trainer sends the job
// again, at another gateway.
func sentTwice(d *deployment, trouble bool) (int, error) {
	d.link, eventTime = 200, 5*time.Millisecond
	const first, second = "front-a-2", "front-a-1"
	w := &lateWrite{log: d.log, first: first, due: make(chan struct{})}
	if trouble {
		d.store.late = w.observe
	}
	if err := d.start(nil, second, first); err != nil {
		return cantRun, err
	}
	const items, itemBytes = 2048, 100
	j := newJob("5e05", "first", "model-0", items)
	sent := make(map[string]*item)
	for i := range j.Items {
		it := &j.Items[i]
		it.Body = bytes.Repeat([]byte("w"), itemBytes)
		// A prompt of many shared parts, and what else the client tells of it.
		var parts []string
		for n := range 100 {
			parts = append(parts, fmt.Sprintf("%08x:25", i/8*128+n))
		}
		it.Headers["X-Prompt-Prefix"] = strings.Join(parts, ",")
		it.Headers["X-Token-Count"] = "2500,100"
		it.Headers["X-Length-Hint"] = strconv.Itoa(60 + i%40)
		it.Headers["X-Urgency"] = "5"
		it.Headers["X-Trace"] = strings.Repeat(it.ID, 60)
		it.Headers["X-Sampling"] = strings.Repeat("temperature=0.7;", 24)
		sent[it.ID] = it
	}
	if d.submit(d.gateways[1], j) != http.StatusAccepted && !d.submitUntilAccepted(d.gateways[0], j, 10*time.Second) {
		return cantRun, errNotAccepted
	}
	accepted := time.Now()
	all := d.readAll(d.gateways[0], j, 20*time.Second)
	verdict := held
	for _, r := range d.log.allRuns() {
		if it := sent[r.Request]; it == nil || r.Headers != headersOf(it.Headers) || r.Path != it.Path {
			d.log.note("UNASKED: server %s ran %q with other headers than the client's: %s", r.Server, r.Request, r.Headers)
			verdict = broken
		}
	}
	d.log.note("%.0f s after the 202, %d of %d results were read", time.Since(accepted).Seconds(), len(all), len(j.Items))
	if len(all) == len(j.Items) {
		return verdict, nil
	}
	d.log.note("the day has ended: bodies of items that are not listed are asked for, again after each failure, for 10 s")
	listed := make(map[string]bool)
	for _, r := range all {
		listed[r.ID] = true
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, g := range d.gateways {
			it := &j.Items[len(j.Items)/2]
			if listed[it.ID] {
				continue
			}
			status, b := d.call(g, http.MethodGet, "/-/items/"+j.ID+"?id="+it.ID, http.Header{}, nil)
			d.log.note("answered GET of the body of %s at %s: %d", it.ID, g.name, status)
			if status == http.StatusOK && bytes.Equal(b, it.Body) {
				return verdict, nil
			}
		}
	}
	d.log.note("LOST: an item that is not listed does not give its body at the end of the day")
	return broken, nil
}
