// Package sillbudget bounds the memory that a process spends on what clients send and on
// answers that they have not read. It decides whose bytes give way when the memory is short.
package sillbudget

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Step is the number of bytes that is taken at once while a body is read: a multiple of
	// it is held by bodies that go on.
	Step = 64 << 10
	// smallShare is the share of the budget that only requests with a single step may use,
	// so that ordinary requests pass beside large ones.
	smallShare = 0.125
	// stallTime is the time without progress after which an account may be evicted for one
	// that holds more. A client at the least rate of a body makes progress twice in it.
	stallTime = time.Second
	// freezeTime is the time between two signs of life of the process after which no account
	// counts as stalled: the process did not run, so that the clients could make no progress.
	freezeTime = 2 * time.Second
	// maxWaiting bounds the accounts that wait for bytes: each looks again whenever some are
	// given back.
	maxWaiting = 64
)

// Budget is a number of bytes that the accounts of a process share. It is safe for concurrent
// use. A nil Budget has no bound.
type Budget struct {
	size int64
	// epoch is what accounts measure their progress from.
	epoch time.Time

	mu sync.Mutex
	// taken is the sum of what the accounts hold.
	taken int64
	// small is the part of taken that small requests hold.
	small int64
	// leaving is the part of taken that evicted accounts still hold.
	leaving int64
	// alive is when Alive was last called, and resumed when the process last ran again after
	// a time in which it did not.
	alive, resumed time.Time
	accounts       map[*Account]struct{}
	// freed is closed and replaced when bytes are given back to accounts that wait.
	freed   chan struct{}
	waiting int
	metrics *Metrics
}

// New returns a budget of a number of bytes; nil, which has no bound, for 0. Metrics may be nil.
func New(size int64, metrics *Metrics) *Budget {
	if size <= 0 {
		return nil
	}
	b := &Budget{size: size, epoch: time.Now(), accounts: make(map[*Account]struct{}), freed: make(chan struct{}), metrics: metrics}
	metrics.follow(b)
	return b
}

// phase is what happens with the bytes of an account.
type phase int

const (
	// settled: the request is complete and may have run. The account is not evicted.
	settled phase = iota
	// sending: the client sends the body.
	sending
	// fetching: an answer is read from a target. It may be dropped for another answer.
	fetching
	// reading: the client reads the answer.
	reading
)

// Account holds what one request takes of a budget. Its methods but Progress are called by
// one goroutine at a time. A nil Account takes nothing.
type Account struct {
	budget *Budget
	evict  func()
	// progressed is when the account last took bytes, or its client last sent or read some,
	// as a duration since the epoch of the budget.
	progressed atomic.Int64

	// The fields below are guarded by the mutex of the budget.

	held int64
	// answer is the part of held that was taken for an answer.
	answer int64
	phase  phase
	// drop ends the reading of an answer from a target; nil if answers are not dropped.
	drop func()
	// evicted is whether the account has to give back its bytes soon.
	evicted bool
}

// Open returns an account. Evict closes the connection of its client, so that the account is
// closed soon. It is called while a lock is held and must not block.
func (b *Budget) Open(evict func()) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, evict: evict}
}

// Outcome tells what became of an attempt to take bytes.
type Outcome int

const (
	// Taken means that the account holds the bytes.
	Taken Outcome = iota
	// Wait means that others were evicted for the bytes, which are not free yet.
	Wait
	// Refused means that no other account is a worse one, or that this one was evicted.
	Refused
)

// OnDrop sets the function that ends the reading of the answer from its target. It is called
// while a lock is held and must not block. Without it, answers of the account are not dropped.
func (a *Account) OnDrop(drop func()) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.drop = drop
}

// Alive records that the process runs. It is called every second or more often.
func (b *Budget) Alive(now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noticeFreeze(now)
	b.alive = now
}

func (b *Budget) noticeFreeze(now time.Time) {
	if !b.alive.IsZero() && now.Sub(b.alive) > freezeTime {
		b.alive, b.resumed = now, now
	}
}

// TryTake takes bytes for a client that sends them.
func (a *Account) TryTake(now time.Time, n int64) Outcome {
	if a == nil {
		return Taken
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tryTake(a, now, n, sending)
}

// tryTake takes bytes for an account that is in a phase then.
func (b *Budget) tryTake(a *Account, now time.Time, n int64, p phase) Outcome {
	b.noticeFreeze(now)
	if a.evicted {
		return Refused
	}
	reserve := b.reserve()
	// Small requests count against the limit of larger ones, too: the memory of the process is
	// a multiple of the budget, since buffers are copied as they grow.
	limit := b.size - reserve
	if p == sending && a.held+n <= Step {
		if b.small+n <= reserve {
			b.take(a, now, n, p)
			return Taken
		}
		limit = b.size
	}
	// An account beside small ones only may take more than there is: one legal request is
	// always served when load is low.
	if b.taken+n <= limit || b.taken-a.held <= reserve {
		b.take(a, now, n, p)
		return Taken
	}
	missing := min(b.taken-b.leaving+n-limit, b.taken-b.leaving-a.held-reserve)
	if missing <= 0 {
		return Wait
	}
	if !b.evictFor(a, now, n, p, missing) {
		b.metrics.count(reasonShort)
		return Refused
	}
	return Wait
}

func (b *Budget) reserve() int64 { return int64(smallShare * float64(b.size)) }

func (b *Budget) take(a *Account, now time.Time, n int64, p phase) {
	answer := a.answer
	if p != sending {
		answer += n
	}
	b.hold(a, n, answer)
	a.phase = p
	a.Progress(now)
}

// hold adds to what an account holds, and sets how much of it is for an answer.
func (b *Budget) hold(a *Account, n, answer int64) {
	if a.isSmall() {
		b.small -= a.held
	}
	a.held += n
	a.answer = answer
	b.taken += n
	if a.isSmall() {
		b.small += a.held
	}
	if a.evicted {
		b.leaving += n
	}
	if a.held == 0 {
		delete(b.accounts, a)
	} else {
		b.accounts[a] = struct{}{}
	}
}

// isSmall returns whether an account holds one step at most, and none of it for an answer.
func (a *Account) isSmall() bool { return a.held <= Step && a.answer == 0 }

// idle returns the time without progress of an account.
func (b *Budget) idle(a *Account, now time.Time) time.Duration {
	idle := now.Sub(b.epoch) - time.Duration(a.progressed.Load())
	if !b.resumed.IsZero() {
		idle = min(idle, now.Sub(b.resumed))
	}
	return max(0, idle)
}

// minIdle makes the size decide among accounts that all progress.
const minIdle = 10 * time.Millisecond

// cost orders accounts by how much they hold and for how long without progress.
func (b *Budget) cost(a *Account, now time.Time) float64 {
	return float64(a.held) * (b.idle(a, now) + minIdle).Seconds()
}

// evictFor evicts the accounts of the largest cost, until a number of bytes is on its way back
// to an account that asks for n more. It evicts none and returns false if they are too few.
func (b *Budget) evictFor(asking *Account, now time.Time, n int64, p phase, missing int64) bool {
	// An account that has stalled itself takes nothing from accounts of less cost.
	least := 0.0
	if asking.held > 0 && asking.phase == sending && b.idle(asking, now) >= stallTime {
		least = b.cost(asking, now)
	}
	var victims []*Account
	for c := range b.accounts {
		if c != asking && !c.evicted && b.givesWay(c, asking.held+n, now, p) && b.cost(c, now) > least {
			victims = append(victims, c)
		}
	}
	slices.SortFunc(victims, func(x, y *Account) int { return cmp.Compare(b.cost(y, now), b.cost(x, now)) })
	for i, c := range victims {
		if missing -= c.held; missing <= 0 {
			for _, c := range victims[:i+1] {
				b.expel(c)
			}
			return true
		}
	}
	return false
}

// givesWay returns whether an account may be evicted for one that asks in a phase, and holds a
// number of bytes then: it holds more or has stalled.
func (b *Budget) givesWay(c *Account, asked int64, now time.Time, p phase) bool {
	larger := c.held > asked
	stalled := b.idle(c, now) >= stallTime
	switch c.phase {
	case sending:
		if asked > Step && c.isSmall() && b.small <= b.reserve() {
			return false
		}
		return larger || stalled
	case fetching:
		// The target has run the request, so that one which has not is refused instead.
		return larger && p != sending && c.drop != nil
	case reading:
		// A client that reads is told its answer, unless the bytes exist already and can't be
		// refused.
		return stalled || larger && p == reading
	case settled:
	}
	return false
}

func (b *Budget) expel(a *Account) {
	a.evicted = true
	b.leaving += a.held
	if a.phase == fetching {
		b.metrics.count(reasonDropped)
		a.drop()
		return
	}
	b.metrics.count(reasonEvicted)
	a.evict()
}

// Take takes bytes for a client that sends them, and waits up to a time for accounts that
// give way to it. It returns false if the request must be refused.
func (a *Account) Take(n int64, patience time.Duration) bool {
	if a == nil || n <= 0 {
		return true
	}
	return a.budget.await(a, n, sending, patience)
}

// TakeAnswer is Take for an answer that is about to be read from a target. Until Deliver, the
// account may be dropped for a smaller answer, but its client's connection is not closed.
func (a *Account) TakeAnswer(n int64, patience time.Duration) bool {
	if a == nil || n <= 0 {
		return true
	}
	return a.budget.await(a, n, fetching, patience)
}

// await takes bytes as soon as there are enough. It returns false after a time.
func (b *Budget) await(a *Account, n int64, p phase, patience time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for end := now.Add(patience); ; now = time.Now() {
		outcome := b.tryTake(a, now, n, p)
		if outcome != Wait {
			return outcome == Taken
		}
		if !b.awaitFreed(time.Until(end)) {
			b.metrics.count(reasonShort)
			return false
		}
	}
}

// awaitFreed waits until bytes are given back, with the lock released. It returns false after the
// time, or if too many wait already.
func (b *Budget) awaitFreed(limit time.Duration) bool {
	if limit <= 0 || b.waiting >= maxWaiting {
		return false
	}
	freed := b.freed
	b.waiting++
	b.mu.Unlock()
	timer := time.NewTimer(limit)
	select {
	case <-freed:
	case <-timer.C:
	}
	timer.Stop()
	b.mu.Lock()
	b.waiting--
	return true
}

// Deliver records that an answer of a number of bytes waits until its client has read it. What
// was not taken for it is added: it exists already, so that it is not refused; accounts are
// evicted for it, perhaps this one.
func (a *Account) Deliver(now time.Time, n int64) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noticeFreeze(now)
	if a.evicted && a.phase == fetching {
		// The answer was complete before it could be dropped.
		a.evicted = false
		b.leaving -= a.held
	}
	if a.evicted {
		return
	}
	missing := max(0, n-a.answer)
	b.take(a, now, missing, reading)
	over := b.taken - b.leaving - b.size
	if missing == 0 || over <= 0 || b.taken-b.leaving == a.held {
		return
	}
	// Clients that read an answer are not cut for a little more than there is.
	if over <= b.reserve() {
		b.evictFor(a, now, 0, fetching, over)
		return
	}
	if !b.evictFor(a, now, 0, reading, over) {
		b.expel(a)
	}
}

// Progress records that the client sends its body or reads its answer.
func (a *Account) Progress(now time.Time) {
	if a != nil {
		a.progressed.Store(int64(now.Sub(a.budget.epoch)))
	}
}

// Settle records that the client has sent the whole body, or has read the answer: the account
// is not evicted any more, as its request may have run.
func (a *Account) Settle() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.phase = settled
}

// Release gives back bytes.
func (a *Account) Release(n int64) {
	if a == nil || n == 0 {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.held)
	b.hold(a, -n, min(a.answer, a.held-n))
	if b.waiting > 0 {
		close(b.freed)
		b.freed = make(chan struct{})
	}
}

// Close gives back all that the account holds.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	held := a.held
	a.budget.mu.Unlock()
	a.Release(held)
}

// Taken returns the bytes that the accounts hold.
func (b *Budget) Taken() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken
}
