package sillrate

import "time"

// Class is the importance of a request.
type Class int

const (
	// Interactive requests have a caller who waits for the answer.
	Interactive Class = iota
	// Background requests can wait for a share of the limit.
	Background

	// Classes is the number of classes.
	Classes
)

const (
	// baseBurst and burstTime give the tokens that a bucket holds at most: baseBurst and
	// those of burstTime. A target is not to get more than half of its limit on top within
	// some seconds.
	baseBurst = 2
	burstTime = 500 * time.Millisecond
	// interactiveReserve is the number of tokens that background requests leave.
	interactiveReserve = 1
	// maxRetryAfter bounds how long a refused request is told to wait. The limit may end
	// sooner than it would get a token.
	maxRetryAfter = time.Second
)

// Bucket is a token bucket: each request takes a token, and tokens come at the rate of the
// limit. It is not safe for concurrent use.
type Bucket struct {
	rate PerSecond
	// burst is the number of tokens held at most; 0 stands for baseBurst and those of
	// burstTime.
	burst   float64
	tokens  float64
	updated time.Time
}

// NewBucket returns an empty bucket. It starts empty because requests may have been sent
// just before, under another bucket or none.
func NewBucket(now time.Time, rate PerSecond) *Bucket { return &Bucket{rate: rate, updated: now} }

// NewColdBucket returns an empty bucket for a target that may be cold.
func NewColdBucket(now time.Time, a Allowance) *Bucket {
	return &Bucket{rate: a.Rate, burst: a.Burst, updated: now}
}

// Rate returns the rate at which tokens come.
func (b *Bucket) Rate() PerSecond { return b.rate }

// SetRate changes the rate from now on.
func (b *Bucket) SetRate(now time.Time, rate PerSecond) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.Capacity())
}

// Capacity returns the number of tokens that the bucket holds at most.
func (b *Bucket) Capacity() float64 {
	if b.burst > 0 {
		return b.burst
	}
	return baseBurst + float64(b.rate)*burstTime.Seconds()
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*float64(b.rate), b.Capacity())
		b.updated = now
	}
}

// Scarce returns whether there are no tokens beyond those that one request of each class
// needs.
func (b *Bucket) Scarce(now time.Time) bool {
	b.refill(now)
	return b.tokens < 1+interactiveReserve
}

// Take takes a token for a request. If there is none, it returns the delay after which
// there may be one.
func (b *Bucket) Take(now time.Time, c Class) (ok bool, retryAfter time.Duration) {
	b.refill(now)
	if b.tokens >= needed(c) {
		b.tokens--
		return true, 0
	}
	return false, min(max(b.timeFor(needed(c)-b.tokens), time.Millisecond), maxRetryAfter)
}

// Refund returns the token of a request that is not sent.
func (b *Bucket) Refund() { b.tokens = min(b.tokens+1, b.Capacity()) }

// Debit takes a token for a request that is sent in any case.
func (b *Bucket) Debit(now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-1, -b.Capacity())
}

// Delay returns the time until a request of the class gets a token if no other one takes
// it.
func (b *Bucket) Delay(now time.Time, c Class) time.Duration {
	b.refill(now)
	return b.timeFor(needed(c) - b.tokens)
}

// needed returns the tokens that must be there for a request to take one.
func needed(c Class) float64 {
	if c == Background {
		return 1 + interactiveReserve
	}
	return 1
}

func (b *Bucket) timeFor(tokens float64) time.Duration {
	return time.Duration(max(tokens, 0) / float64(b.rate) * float64(time.Second))
}
