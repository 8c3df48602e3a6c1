package sillbudget

import (
	"math/rand/v2"
	"testing"
	"time"
)

func checkAnswer(t *testing.T, c *client, n int64, want bool) {
	t.Helper()
	if got := c.TakeAnswer(n, 0); got != want {
		t.Errorf("answer of %d bytes: taken %v, want %v", n, got, want)
	}
}

func checkKept(t *testing.T, c *client, name string) {
	t.Helper()
	if c.evicted.Load() {
		t.Errorf("%s was closed", name)
	}
}

// TestAnswersCloseNoSmallRequest guards against an answer that asks for more memory closing the
// connections of small requests whose bodies are being read.
func TestAnswersCloseNoSmallRequest(t *testing.T) {
	b, now := New(testSize, nil), time.Now()
	endless, other, small, stalled := open(b), open(b), open(b), open(b)
	checkAnswer(t, endless, 30*Step, true)
	checkAnswer(t, other, 20*Step, true)
	checkTake(t, small, now, 10, Taken)
	checkTake(t, stalled, now.Add(-time.Minute), 10, Taken)
	checkAnswer(t, endless, 30*Step, false)
	checkKept(t, small, "a small request")
	checkKept(t, stalled, "a small request that has stalled")
}

// TestReserveIsForRequests guards against the first steps of many answers taking the memory of
// small requests.
func TestReserveIsForRequests(t *testing.T) {
	b, now := New(testSize, nil), time.Now()
	for range 56 {
		checkAnswer(t, open(b), Step, true)
	}
	checkAnswer(t, open(b), Step, false)
	for range 8 {
		checkTake(t, open(b), now, Step, Taken)
	}
	checkTaken(t, b, testSize)
}

// TestSmallBesideLargest guards against a small request that is refused, or closes another,
// because one large request takes more than the budget.
func TestSmallBesideLargest(t *testing.T) {
	b, now := New(testSize, nil), time.Now()
	running, sending := open(b), open(b)
	checkTake(t, running, now, 80*Step, Taken)
	running.Settle()
	for range 8 {
		checkTake(t, open(b), now, Step, Taken)
	}
	running.Close()
	checkTake(t, sending, now, 80*Step, Taken)
	checkTake(t, open(b), now, Step, Wait)
	b = New(testSize, nil)
	sending = open(b)
	checkTake(t, sending, now, 80*Step, Taken)
	checkTake(t, open(b), now, Step, Taken)
	checkKept(t, sending, "a large request beside a small one")
}

// TestNoneClosedInVain guards against connections that are closed for a request that is refused
// anyway.
func TestNoneClosedInVain(t *testing.T) {
	b, now := New(testSize, nil), time.Now()
	running, stalled := open(b), open(b)
	checkTake(t, running, now, 40*Step, Taken)
	running.Settle()
	checkTake(t, stalled, now, 10*Step, Taken)
	checkTake(t, open(b), now.Add(time.Minute), 30*Step, Refused)
	checkKept(t, stalled, "a request whose bytes were too few")
}

// TestNoneGivesWayToLarger guards against an account that gives way to one that holds more
// although its client makes progress, and against small requests that are refused while they
// fit in the reserve.
func TestNoneGivesWayToLarger(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		b, now := New(testSize, nil), time.Now()
		var clients []*client
		for range 40 {
			clients = append(clients, open(b))
		}
		for range 400 {
			now = now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
			c := clients[r.IntN(len(clients))]
			if c.evicted.Load() || r.IntN(8) == 0 {
				c.Close()
				*c = client{}
				c.Account = b.Open(func() { c.evicted.Store(true) })
			}
			n := int64(1 + r.IntN(Step))
			if r.IntN(3) == 0 {
				n *= 8
			}
			checkStep(t, b, clients, c, now, n)
		}
	}
}

// checkStep takes bytes for a body and checks whom that evicts.
func checkStep(t *testing.T, b *Budget, clients []*client, c *client, now time.Time, n int64) {
	t.Helper()
	before := make(map[*client]bool)
	for _, other := range clients {
		before[other] = other.evicted.Load()
	}
	asked, fits := c.held+n, c.held+n <= Step && b.small+n <= b.reserve()
	outcome := c.TryTake(now, n)
	if fits && outcome != Taken {
		t.Errorf("a small request got %v", outcome)
	}
	for _, other := range clients {
		if before[other] || !other.evicted.Load() {
			continue
		}
		if other.held <= asked && b.idle(other.Account, now) < stallTime {
			t.Errorf("an account with %d bytes gave way to one with %d", other.held, asked)
		}
		if asked > Step && other.held <= Step && b.small <= b.reserve() {
			t.Error("a small request gave way to a large one")
		}
	}
}

// TestSmallerAnswerDropsLarger guards against an answer without end that keeps others from being
// read, and against a dropped answer whose caller is told nothing.
func TestSmallerAnswerDropsLarger(t *testing.T) {
	b := New(testSize, nil)
	endless, other := open(b), open(b)
	dropped := 0
	endless.OnDrop(func() { dropped++ })
	checkAnswer(t, endless, 50*Step, true)
	checkAnswer(t, other, 60*Step, false)
	checkAnswer(t, other, 10*Step, false)
	if dropped != 1 {
		t.Errorf("dropped %d times, want once, for the smaller answer", dropped)
	}
	checkKept(t, endless, "the caller of a dropped answer")
	checkAnswer(t, endless, Step, false)
	endless.Close()
	checkAnswer(t, other, 10*Step, true)
}

// TestCompleteAnswerIsDelivered guards against an answer that was complete when it was dropped,
// and is then never counted or evicted any more.
func TestCompleteAnswerIsDelivered(t *testing.T) {
	b, now := New(testSize, nil), time.Now()
	complete, other, late := open(b), open(b), open(b)
	complete.OnDrop(func() {})
	checkAnswer(t, complete, 50*Step, true)
	checkAnswer(t, other, 10*Step, false)
	complete.Deliver(now, 50*Step)
	checkTake(t, late, now, 10*Step, Refused)
	checkTake(t, late, now.Add(stallTime), 10*Step, Wait)
	if !complete.evicted.Load() {
		t.Error("an answer that is not read was kept")
	}
	complete.Close()
	checkTaken(t, b, 0)
}

// TestReadersAreNotCut guards against callers that read their answers and are cut for a request
// that can be refused, or for a little more than there is.
func TestReadersAreNotCut(t *testing.T) {
	b, now := New(testSize, nil), time.Now()
	large, small := open(b), open(b)
	checkAnswer(t, large, 56*Step, true)
	large.Deliver(now, 56*Step)
	checkTake(t, open(b), now, 10*Step, Refused)
	checkAnswer(t, open(b), 10*Step, false)
	small.Deliver(now, 10*Step)
	checkKept(t, large, "a large answer that is being read")
	checkKept(t, small, "a small answer that is being read")
}

// TestFrozenProcess guards against clients that count as stalled because the process itself did
// not run.
func TestFrozenProcess(t *testing.T) {
	b, now := New(testSize, nil), time.Now()
	small, large := open(b), open(b)
	b.Alive(now)
	checkTake(t, small, now, 20*Step, Taken)
	checkTake(t, large, now, 30*Step, Taken)
	now = now.Add(5 * time.Second)
	large.Progress(now)
	checkTake(t, large, now, 10*Step, Refused)
	b.Alive(now)
	checkKept(t, small, "a client of a process that was frozen")
	now = now.Add(stallTime)
	large.Progress(now)
	checkTake(t, large, now, 10*Step, Wait)
}
