package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// injectedFence is the fencing token that the client writes into the body of its item.
	injectedFence = 1000
	// versionTime is how long the gateways have to move the engines to a version.
	versionTime = 15 * time.Second
)

// orderLog holds the orders that each engine got, in their order.
type orderLog struct {
	mu     sync.Mutex
	orders map[string][]order
}

type order struct {
	Owner   string `json:"owner"`
	Fence   uint64 `json:"fence"`
	Version uint64 `json:"version"`
}

func (l *orderLog) add(rec *record, server, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var o order
	_ = json.Unmarshal([]byte(body), &o)
	rec.line("%s gets an order: owner %q, fence %d, version %d", server, o.Owner, o.Fence, o.Version)
	l.orders[server] = append(l.orders[server], o)
}

// lower returns the engines that got an order with a lower fencing token after a higher one.
func (l *orderLog) lower() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []string
	for server, orders := range l.orders {
		highest := uint64(0)
		for _, o := range orders {
			if o.Fence < highest {
				list = append(list, fmt.Sprintf("%s: fence %d of %q after %d", server, o.Fence, o.Owner, highest))
				break
			}
			highest = max(highest, o.Fence)
		}
	}
	return list
}

// playOrders has a tenant submit a job one item of which has the path of the servers' orders. Then a
// trainer names a version.
func playOrders(dir string, rec *record, trouble bool) (bool, error) {
	w := newWorld(dir, rec, worldConfig{gateways: 3, engines: 3, apps: 3, memoryMB: 164, events: 23, eventTime: 20 * time.Millisecond})
	log := &orderLog{orders: make(map[string][]order)}
	for _, s := range w.servers {
		s.onOrder = func(_, body string) { log.add(rec, s.id, body) }
	}
	w.open()
	if !w.awaitReady(20 * time.Second) {
		return false, errNotReady
	}
	if !w.nameVersion(2) {
		return false, errors.New("the engines were not moved to a version that was named")
	}
	j := newJob(keyA, 1, 2)
	if trouble {
		it := &j.Requests[0]
		it.Path = "/-/order"
		it.Body = []byte(fmt.Sprintf(`{"op":"version","model":%q,"version":2,"mode":"truncate","owner":"a-client","fence":%d}`, model, injectedFence))
	}
	rec.line("tenant-a submits %s, the path of whose first item is %s: %v", j.id, j.Requests[0].Path, w.submit(j, 0, 10*time.Second))
	time.Sleep(4 * time.Second)
	rec.line("tenant-a ends %s: %v", j.id, w.end(j, 0))
	time.Sleep(4 * time.Second)
	moved := w.nameVersion(3)
	rec.line("an engine has version 3: %v", moved)
	lower := log.lower()
	for _, l := range lower {
		rec.line("a lower fencing token after a higher one: %s", l)
	}
	return len(lower) > 0, nil
}

// nameVersion names a version of the model, and returns whether an engine has it in time.
func (w *world) nameVersion(version uint64) bool {
	w.record.line("a trainer names version %d", version)
	w.store.put(operatorTable, "version/"+model, map[string]any{"model": model, "version": version})
	for end := time.Now().Add(versionTime); time.Now().Before(end); time.Sleep(pollPeriod) {
		for _, s := range w.servers {
			s.mu.Lock()
			moved := s.model != "" && s.version >= version
			s.mu.Unlock()
			if moved {
				return true
			}
		}
	}
	return false
}
