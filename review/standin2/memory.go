package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// restartDelay is the time until the platform starts a process again that has ended.
const restartDelay = 2 * time.Second

// watcher does what the platform does to processes that exceed the memory of their machine: it
// kills them, and starts them again after a short delay.
type watcher struct {
	world *world
	mu    sync.Mutex
	kills map[string]int
	peaks map[string]int
}

// watch looks at the memory of all processes 20 times a second until ctx ends.
func (w *world) watch(ctx context.Context) *watcher {
	t := &watcher{world: w, kills: make(map[string]int), peaks: make(map[string]int)}
	for _, g := range w.gateways {
		go t.follow(ctx, g)
	}
	return t
}

func (t *watcher) follow(ctx context.Context, g *gateway) {
	for ctx.Err() == nil {
		sleep(ctx, 50*time.Millisecond)
		t.world.mu.Lock()
		ended := ctx.Err() == nil && !g.alive()
		now := g.memory()
		over := ctx.Err() == nil && now > t.world.machine.memoryMB
		if over {
			g.kill()
		}
		t.world.mu.Unlock()
		t.mu.Lock()
		t.peaks[g.name] = max(t.peaks[g.name], now)
		if over || ended {
			t.kills[g.name]++
		}
		t.mu.Unlock()
		if !over && !ended {
			continue
		}
		t.world.rec.printf("platform: %s has %d MB of %d MB (ended by itself: %v); killed, and started again after %v", g.name, now, t.world.machine.memoryMB, ended, restartDelay)
		sleep(ctx, restartDelay)
		t.world.mu.Lock()
		if ctx.Err() == nil {
			_ = g.start(t.world.dir, t.world.address, t.world.machine)
		}
		t.world.mu.Unlock()
	}
}

// broken writes down the peaks and returns whether the rule was broken: on two machines or more
// processes have ended three times for their memory.
func (t *watcher) broken() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ends, often := 0, 0
	for _, g := range t.world.gateways {
		t.world.rec.printf("judge: %s had %d MB at its peak and ended %d times for its memory", g.name, t.peaks[g.name], t.kills[g.name])
		ends += t.kills[g.name]
		if t.kills[g.name] >= endsAllowed {
			often++
		}
	}
	t.world.rec.printf("judge: processes ended for their memory %d times in all, on %d of %d machines %d times or more", ends, often, len(t.world.gateways), endsAllowed)
	return often >= machinesAllowed
}

// The rule counts two machines or more on which processes have ended three times.
const endsAllowed, machinesAllowed = 3, 2

// bigJobs submits batch jobs of legal size, many at once, while a trainer of another tenant waits
// for an ordinary step.
func bigJobs(ctx context.Context, c *trial) (broken bool, err error) {
	w, err := newWorld(ctx, c.rec, c.dir, smallMachine, 3, append(engines(1, 23, 150*time.Millisecond), desk()))
	defer w.close()
	if err != nil {
		return false, err
	}
	watching, stop := context.WithCancel(ctx)
	defer stop()
	t := w.watch(watching)
	jobs := 28
	if !c.trouble {
		jobs = 1
	}
	var group sync.WaitGroup
	for i := range jobs {
		job := fmt.Sprintf("big-%d", i)
		group.Go(func() { w.submit(ctx, "tenant-b", job, batchJob(job, modelNames[0], 8, 3_000_000), i, 60) })
		sleep(ctx, 200*time.Millisecond)
	}
	sleep(ctx, 2*time.Second)
	name := stepName(0)
	submitted := w.submit(ctx, "tenant-a", name, batchJob(name, modelNames[1], 4, 600), 0, 10)
	c.rec.printf("judge: the ordinary step was accepted: %v", submitted)
	listed := w.train(ctx, 0, time.Now().Add(40*time.Second))
	group.Wait()
	c.rec.printf("judge: the ordinary step was listed whole within 40 s: %v", listed)
	c.rec.printf("judge: an ordinary request is served: %v", w.ordinary(ctx, "ordinary"))
	return t.broken(), nil
}

// bodyCrowds is the number of crowds, each of which meets another gateway than the one before, and
// bodyCalls is how often each client of a crowd asks.
const bodyCrowds, bodyCalls = 10, 3

// ask has a crowd of clients ask a gateway for bodies of items.
func (w *world) ask(ctx context.Context, g *gateway, crowd int) {
	var group sync.WaitGroup
	for i := range crowd {
		group.Go(func() {
			for n := range bodyCalls {
				item := itemID("big", (i+n)%4)
				r := send(ctx, g, &call{tenant: "tenant-b", method: http.MethodGet, path: "/-/items/big?id=" + item, timeout: 20 * time.Second})
				w.rec.printf("client %d: asks %s for the body of %s: %v", i, g.name, item, r)
				sleep(ctx, 500*time.Millisecond)
			}
		})
	}
	group.Wait()
}

// bodies asks for the body of an item many times at once.
func bodies(ctx context.Context, c *trial) (broken bool, err error) {
	w, err := newWorld(ctx, c.rec, c.dir, smallMachine, 2, append(engines(1, 800, 150*time.Millisecond), desk()))
	defer w.close()
	if err != nil {
		return false, err
	}
	if !w.submit(ctx, "tenant-b", "big", batchJob("big", modelNames[0], 4, 4_000_000), 0, 3) {
		return false, fmt.Errorf("the batch job is not accepted")
	}
	sleep(ctx, 2*time.Second)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	t := w.watch(watching)
	crowd := 100
	if !c.trouble {
		crowd = 1
	}
	for n := range bodyCrowds {
		w.ask(ctx, w.gateways[n%len(w.gateways)], crowd)
		// A process that was killed is back by then.
		sleep(ctx, restartDelay+time.Second)
	}
	sleep(ctx, 2*time.Second)
	c.rec.printf("judge: an ordinary request is served: %v", w.ordinary(ctx, "ordinary"))
	return t.broken(), nil
}
