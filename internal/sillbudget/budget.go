// Package sillbudget bounds the memory that a process spends on what clients send and on
// answers that they have not read. It decides whose bytes give way when the memory is short.
package sillbudget

import (
	"sync"
	"time"
)

const (
	// Step is the number of bytes that is taken at once while a body is read: a multiple of
	// it is held by bodies that go on.
	Step = 64 << 10
	// smallShare is the share of the budget that only accounts with a single step may use,
	// so that ordinary requests pass beside large ones.
	smallShare = 0.125
	// maxWaiting bounds the accounts that wait for bytes: each looks again whenever some are
	// given back.
	maxWaiting = 64
)

// Budget is a number of bytes that the accounts of a process share. It is safe for concurrent
// use. A nil Budget has no bound.
type Budget struct {
	size int64

	mu sync.Mutex
	// taken is the sum of what the accounts hold.
	taken int64
	// leaving is the part of taken that evicted accounts still hold.
	leaving  int64
	accounts map[*Account]struct{}
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
	b := &Budget{size: size, accounts: make(map[*Account]struct{}), freed: make(chan struct{}), metrics: metrics}
	metrics.follow(b)
	return b
}

// Account holds what one request takes of a budget. Its methods but Progress are called by
// one goroutine at a time. A nil Account takes nothing.
type Account struct {
	budget *Budget
	evict  func()

	// The fields below are guarded by the mutex of the budget.

	held int64
	// answer is the part of held that was taken for an answer.
	answer int64
	// progressed is when the account last took bytes or its answer was read.
	progressed time.Time
	// exposed is whether the client still sends the body, or reads the answer, for which the
	// account holds bytes: only then may it be evicted.
	exposed bool
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

// TryTake takes bytes for a client that sends them.
func (a *Account) TryTake(now time.Time, n int64) Outcome {
	if a == nil {
		return Taken
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	outcome := b.tryTake(a, now, n)
	if outcome == Taken {
		a.exposed = true
	}
	return outcome
}

func (b *Budget) tryTake(a *Account, now time.Time, n int64) Outcome {
	if a.evicted {
		return Refused
	}
	limit, reserve := b.size, int64(smallShare*float64(b.size))
	if a.held+n > Step {
		limit -= reserve
	}
	// An account beside small ones only may take more than there is: one legal request is
	// always served when load is low.
	if b.taken+n <= limit || b.taken-a.held <= reserve {
		b.add(a, now, n)
		return Taken
	}
	for b.taken-b.leaving+n > limit {
		if b.taken-b.leaving-a.held <= reserve {
			break
		}
		worst := b.worst(a, now)
		if worst == nil || worst == a {
			b.metrics.count(reasonShort)
			return Refused
		}
		b.expel(worst)
	}
	return Wait
}

func (b *Budget) add(a *Account, now time.Time, n int64) {
	if n == 0 {
		return
	}
	if a.held == 0 {
		b.accounts[a] = struct{}{}
	}
	a.held += n
	b.taken += n
	a.progressed = now
}

// worst returns the exposed account that holds most for the longest time without progress;
// nil if none can be evicted.
func (b *Budget) worst(asking *Account, now time.Time) *Account {
	var worst *Account
	var most float64
	for a := range b.accounts {
		if !a.exposed || a.evicted || a.held == 0 {
			continue
		}
		if cost := float64(a.held) * (now.Sub(a.progressed) + minIdle).Seconds(); cost > most {
			worst, most = a, cost
		}
	}
	if asking.held == 0 || worst != nil {
		return worst
	}
	return asking
}

// minIdle makes the size decide among accounts that all progress.
const minIdle = 10 * time.Millisecond

func (b *Budget) expel(a *Account) {
	a.evicted = true
	b.leaving += a.held
	b.metrics.count(reasonEvicted)
	a.evict()
}

// Take takes bytes for a client that sends them, and waits up to a time for accounts that
// give way to it. It returns false if the request must be refused.
func (a *Account) Take(n int64, patience time.Duration) bool {
	if a == nil || n <= 0 {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.take(a, n, patience) {
		return false
	}
	a.exposed = true
	return true
}

// TakeAnswer is Take for an answer that is about to be read. The account is not evicted before
// Deliver.
func (a *Account) TakeAnswer(n int64, patience time.Duration) bool {
	if a == nil || n <= 0 {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.take(a, n, patience) {
		return false
	}
	a.answer += n
	return true
}

func (b *Budget) take(a *Account, n int64, patience time.Duration) bool {
	now := time.Now()
	for end := now.Add(patience); ; now = time.Now() {
		outcome := b.tryTake(a, now, n)
		if outcome != Wait {
			return outcome == Taken
		}
		if !b.await(time.Until(end)) {
			b.metrics.count(reasonShort)
			return false
		}
	}
}

// await waits until bytes are given back, with the lock released. It returns false after the
// time, or if too many wait already.
func (b *Budget) await(limit time.Duration) bool {
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
	if a.evicted {
		return
	}
	missing := max(0, n-a.answer)
	a.answer += missing
	b.add(a, now, missing)
	a.exposed = true
	for b.taken-b.leaving > b.size {
		worst := b.worst(a, now)
		if worst == nil || b.taken-b.leaving == worst.held {
			return
		}
		b.expel(worst)
	}
}

// Progress records that the client reads its answer.
func (a *Account) Progress(now time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progressed = now
}

// Settle records that the client has sent the whole body, or has read the answer: the account
// is not evicted any more, as its request may have run.
func (a *Account) Settle() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.exposed = false
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
	a.answer = min(a.answer, a.held-n)
	a.held -= n
	b.taken -= n
	if a.evicted {
		b.leaving -= n
	}
	if a.held == 0 {
		delete(b.accounts, a)
	}
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
