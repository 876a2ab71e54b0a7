package retry

import "time"

// Budget is the number of extra attempts that a call and its children may still make.
// Lend moves part of it to a child call, so the total of a call tree never grows.
type Budget struct {
	remaining int
}

// NewBudget returns a budget of n extra attempts.
func NewBudget(n int) Budget { return Budget{remaining: max(0, n)} }

// Remaining returns the number of extra attempts left.
func (b *Budget) Remaining() int { return b.remaining }

// Spend uses one extra attempt and reports whether one was left.
func (b *Budget) Spend() bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Lend removes and returns the part of the budget that a child call may spend: half of
// it, rounded up, so that concurrent child calls also get a part.
func (b *Budget) Lend() int {
	n := (b.remaining + 1) / 2
	b.remaining -= n
	return n
}

// Return adds back what a child call did not spend of its loan. A child cannot return
// more than the loan.
func (b *Budget) Return(loan, unspent int) {
	b.remaining += min(loan, max(0, unspent))
}

const (
	// creditPerCall is the number of extra attempts that each root call adds to the pool.
	// Together with refillPerSecond it keeps the extra attempts of all trees below a tenth
	// of the root calls.
	creditPerCall = 0.07
	poolCapacity  = 4.0
	// refillPerSecond is the number of extra attempts that the pool gains per second in
	// addition to creditPerCall. It allows a node with little traffic to retry.
	refillPerSecond = 0.05
)

// BudgetPool is a token bucket that bounds the extra attempts of all call trees that
// enter at a node. Root calls draw their budgets from it and return what they did not
// spend.
type BudgetPool struct {
	tokens     float64
	refilledAt time.Time
}

// NewBudgetPool returns a pool that holds one extra attempt.
func NewBudgetPool() *BudgetPool { return &BudgetPool{tokens: 1} }

// Draw credits a root call and takes up to n extra attempts for its call tree.
func (p *BudgetPool) Draw(now time.Time, n int) Budget {
	p.tokens += creditPerCall
	if !p.refilledAt.IsZero() {
		p.tokens += refillPerSecond * now.Sub(p.refilledAt).Seconds()
	}
	p.refilledAt = now
	p.tokens = min(poolCapacity, p.tokens)
	got := max(0, min(n, int(p.tokens)))
	p.tokens -= float64(got)
	return NewBudget(got)
}

// Return adds back what a call tree did not spend, up to the pool's capacity.
func (p *BudgetPool) Return(b Budget) { p.tokens = min(poolCapacity, p.tokens+float64(b.remaining)) }
