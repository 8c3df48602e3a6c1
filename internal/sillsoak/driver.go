package sillsoak

import (
	"cmp"
	"context"
	"slices"
	"syscall"
	"time"
)

// stopSlack allows for the time in which a busy machine ends a process.
const stopSlack = time.Second

// Driver carries out the plan of one process.
type Driver struct {
	Name string
	Plan ProcessPlan
	// Began is the start of the soak.
	Began time.Time
	// Grace is the time within which the process must end after SIGTERM.
	Grace time.Duration
	// Process is the present process.
	Process *Process
	// Start starts the next process.
	Start func(processors int) (*Process, error)
	// AwaitServing returns when the process serves or has ended.
	AwaitServing func(p *Process)
	// IsReady, if not nil, returns whether the process accepts new callers.
	IsReady func() bool
	Audit   *Audit
}

// Run carries out the stops and returns once the last process has ended. It leaves out
// stops that earlier ones have delayed beyond the last.
func (d *Driver) Run(context.Context) {
	last := len(d.Plan.Stops) - 1
	for i, s := range d.Plan.Stops {
		if i < last && time.Since(d.Began) > d.Plan.Stops[last].At {
			continue
		}
		if !d.idle(s.At) {
			d.Audit.fault(endedByItself, "%s: %v", d.Name, d.Process.State())
		}
		d.stop(s)
		if i < last && !d.restart(s) {
			return
		}
	}
}

// idle waits until the time of a stop and sends the SIGHUPs on the way. It returns false
// if the process ends meanwhile.
func (d *Driver) idle(until time.Duration) bool {
	for {
		next := until
		for len(d.Plan.Hangups) > 0 && d.Plan.Hangups[0] <= time.Since(d.Began) {
			d.Process.Signal(syscall.SIGHUP)
			d.Plan.Hangups = d.Plan.Hangups[1:]
		}
		if len(d.Plan.Hangups) > 0 {
			next = min(next, d.Plan.Hangups[0])
		}
		select {
		case <-d.Process.Done:
			return false
		case <-time.After(time.Until(d.Began.Add(next))):
		}
		if time.Since(d.Began) >= until {
			return true
		}
	}
}

// restart starts the process again after a stop. It returns false if it can't.
func (d *Driver) restart(s Stop) bool {
	time.Sleep(s.RestartAfter)
	if s.TermInStart > 0 {
		if !d.start(s.Processors) {
			return false
		}
		time.Sleep(s.TermInStart)
		d.Process.Signal(syscall.SIGTERM)
		d.awaitEnd(d.Grace + stopSlack)
		d.Audit.Count("stops in the start", 1)
	}
	if !d.start(s.Processors) {
		return false
	}
	d.AwaitServing(d.Process)
	return true
}

func (d *Driver) start(processors int) bool {
	p, err := d.Start(processors)
	if err != nil {
		d.Audit.fault(notStarted, "%s: %v", d.Name, err)
		return false
	}
	d.Process = p
	return true
}

// awaitEnd returns whether the process ended in time, and kills it if not.
func (d *Driver) awaitEnd(limit time.Duration) bool {
	select {
	case <-d.Process.Done:
		return true
	case <-time.After(limit):
		d.Audit.fault(badStop, "%s had not stopped %v after SIGTERM", d.Name, limit)
		d.Process.Kill()
		return false
	}
}

// stop stops the present process and checks how it ended.
func (d *Driver) stop(s Stop) {
	began := time.Now()
	d.Process.Signal(syscall.SIGTERM)
	for _, a := range d.actions(s) {
		select {
		case <-d.Process.Done:
		case <-time.After(time.Until(began.Add(a.after))):
			a.do(d.Process)
		}
	}
	limit := d.Grace + stopSlack
	for _, p := range s.Pauses {
		limit += p.Length
	}
	if d.awaitEnd(limit - time.Since(began)) {
		if state := d.Process.State(); !state.Success() {
			d.Audit.fault(badStop, "%s stopped with %v", d.Name, state)
		}
	}
	d.Audit.Count("stops", 1)
}

// action is a signal or a pause at a time of a stop.
type action struct {
	after time.Duration
	do    func(p *Process)
}

// readyCheckDelay is the time after SIGTERM from which a process must not be ready.
const readyCheckDelay = 500 * time.Millisecond

// actions returns what happens during a stop, in order.
func (d *Driver) actions(s Stop) []action {
	var list []action
	if d.IsReady != nil {
		list = append(list, action{readyCheckDelay, func(*Process) {
			if d.IsReady() {
				d.Audit.fault(readyInStop, "%s", d.Name)
			}
		}})
	}
	for _, after := range s.Terms {
		list = append(list, action{after, func(p *Process) { p.Signal(syscall.SIGTERM) }})
	}
	for _, after := range s.Hangups {
		list = append(list, action{after, func(p *Process) { p.Signal(syscall.SIGHUP) }})
	}
	for _, pause := range s.Pauses {
		list = append(list, action{pause.After, func(p *Process) { p.suspend(pause.Length) }})
	}
	slices.SortStableFunc(list, func(a, b action) int { return cmp.Compare(a.after, b.after) })
	return list
}
