package sillretry

import (
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// budgetShare is the number of retries that each success earns.
	budgetShare = 0.2
	// maxBudget bounds the retries that may come in one burst.
	maxBudget = 32.0
	// budgetPerSecond lets an organisation with few requests retry now and then.
	budgetPerSecond = 0.2
)

// Budget is a token bucket of retries. It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// tokens is from 0 to maxBudget.
	tokens float64
	last   time.Time
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{tokens: maxBudget}
}

// RecordSuccess earns a share of a retry.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxBudget, b.tokens+budgetShare)
}

func (b *Budget) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() && now.After(b.last) {
		b.tokens = min(maxBudget, b.tokens+budgetPerSecond*now.Sub(b.last).Seconds())
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds a budget for each organisation and pool. It is safe for
// concurrent use.
type Budgets struct {
	mu      sync.Mutex
	budgets map[budgetKey]*Budget
}

type budgetKey struct {
	organisation sillid.OrganisationID
	pool         sillid.PoolID
}

// NewBudgets returns full budgets for all.
func NewBudgets() *Budgets {
	return &Budgets{budgets: make(map[budgetKey]*Budget)}
}

// Of returns the budget of an organisation's requests to a pool.
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
