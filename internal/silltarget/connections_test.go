package silltarget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// connectionLoad is the load that TestConnectionsAreReused plays: score requests of the
// owner of a job to a pool of unequal targets, a few of them under way at a time.
type connectionLoad struct {
	directory *Directory
	rng       *rand.Rand
	now       time.Time
	// idle holds when each idle connection of an address expires.
	idle map[string][]time.Time
	// running holds the requests under way.
	running []runningRequest
	// opened counts new connections, peak is the most requests under way at a time.
	opened, peak int
	// queued counts requests that had to wait for a slot.
	queued int
}

type runningRequest struct {
	grant  Grant
	sentAt time.Time
	doneAt time.Time
}

const (
	poolTargets     = 60
	poolSlots       = 6
	arrivalInterval = 25 * time.Millisecond
	meanWork        = 200 * time.Millisecond
	idleLifetime    = 4 * time.Second
	playedTime      = time.Minute
)

func newConnectionLoad(prefer bool) *connectionLoad {
	l := &connectionLoad{rng: rand.New(rand.NewPCG(1, 2)), now: start, idle: make(map[string][]time.Time)}
	cfg := Config{Seed: 7}
	if prefer {
		cfg.Connected = func(address string) bool { return len(l.idle[address]) > 0 }
	}
	l.directory = NewDirectoryWith(cfg)
	for i := range poolTargets {
		l.directory.Apply(entry(sillid.TargetID(fmt.Sprintf("t%d", i)), poolSlots, 1))
	}
	return l
}

// run plays the load.
func (l *connectionLoad) run(t *testing.T) {
	t.Helper()
	for end := start.Add(playedTime); l.now.Before(end); l.now = l.now.Add(arrivalInterval) {
		l.finishDone()
		l.expireIdle()
		g, ok := l.directory.Pick(l.now, Query{Pool: "p"})
		if !ok {
			t.Fatal("no target")
		}
		l.send(g)
		l.peak = max(l.peak, len(l.running))
	}
}

func (l *connectionLoad) send(g Grant) {
	if g.utilisation > 1 {
		l.queued++
	}
	if list := l.idle[g.Address]; len(list) > 0 {
		l.idle[g.Address] = list[:len(list)-1]
	} else {
		l.opened++
	}
	// The targets differ in speed by half, and so do the requests.
	speed := 1 + float64(len(g.ID)%2)/2
	took := time.Duration(speed * (0.5 + l.rng.Float64()) * float64(meanWork))
	l.running = append(l.running, runningRequest{grant: g, sentAt: l.now, doneAt: l.now.Add(took)})
}

func (l *connectionLoad) finishDone() {
	kept := l.running[:0]
	for _, r := range l.running {
		if r.doneAt.After(l.now) {
			kept = append(kept, r)
			continue
		}
		l.directory.Observe(r.doneAt, r.grant, nil, r.doneAt.Sub(r.sentAt))
		l.directory.Release(r.doneAt, r.grant, Answered)
		l.idle[r.grant.Address] = append(l.idle[r.grant.Address], r.doneAt.Add(idleLifetime))
	}
	l.running = kept
}

func (l *connectionLoad) expireIdle() {
	for address, list := range l.idle {
		for len(list) > 0 && !list[0].After(l.now) {
			list = list[1:]
		}
		l.idle[address] = list
	}
}

// TestConnectionsAreReused plays requests of which about ten are under way at a time. The
// process should need about as many connections as requests at a time, and no request
// should wait for it.
func TestConnectionsAreReused(t *testing.T) {
	l := newConnectionLoad(true)
	l.run(t)
	without := newConnectionLoad(false)
	without.run(t)
	t.Logf("%d connections for at most %d requests at a time; %d without the preference", l.opened, l.peak, without.opened)
	if l.opened > 2*l.peak {
		t.Errorf("%d connections were opened for at most %d requests at a time", l.opened, l.peak)
	}
	if l.queued > 0 {
		t.Errorf("%d requests waited for a slot", l.queued)
	}
}

// TestBusyTargetsAreLeft checks that a connection does not outweigh the load: of two
// targets the one without a connection is picked once the other has twice its load.
func TestBusyTargetsAreLeft(t *testing.T) {
	d := NewDirectoryWith(Config{Connected: func(address string) bool { return address == "a:1" }})
	d.Apply(entry("a", 6, 1))
	d.Apply(entry("b", 6, 1))
	checkPick(t, d, start, Query{}, "a")
	checkPick(t, d, start, Query{}, "b")
	checkPick(t, d, start, Query{}, "a")
}
