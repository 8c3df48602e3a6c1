package sillretry

import (
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// tokensPerSuccess is the number of tokens that each successful request
	// adds; a retry costs one token.
	tokensPerSuccess = 0.2
	// maxTokens is the capacity of a budget and so the maximum burst of
	// retries.
	maxTokens = 32.0
	// tokensPerSecond refills a budget over time, so that an organisation with
	// few requests can retry occasionally.
	tokensPerSecond = 0.2
)

// Budget is a token bucket of retries. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is from 0 to maxTokens.
	tokens     float64
	lastRefill time.Time
}

// NewBudget returns a full Budget.
func NewBudget() *Budget {
	return &Budget{tokens: maxTokens}
}

// RecordSuccess adds tokensPerSuccess tokens.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+tokensPerSuccess)
}

func (b *Budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.tokens = min(maxTokens, b.tokens+tokensPerSecond*now.Sub(b.lastRefill).Seconds())
	}
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds one Budget per organisation and pool. It is safe for concurrent
// use.
type Budgets struct {
	mu      sync.Mutex
	budgets map[budgetKey]*Budget
}

type budgetKey struct {
	organisation sillid.OrganisationID
	pool         sillid.PoolID
}

// NewBudgets returns Budgets in which every budget is full.
func NewBudgets() *Budgets {
	return &Budgets{budgets: make(map[budgetKey]*Budget)}
}

// Of returns the budget for an organisation's requests to a pool.
func (b *Budgets) Of(organisation sillid.OrganisationID, pool sillid.PoolID) *Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := budgetKey{organisation, pool}
	budget, ok := b.budgets[key]
	if !ok {
		budget = NewBudget()
		b.budgets[key] = budget
	}
	return budget
}
