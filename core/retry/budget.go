package retry

import "time"

// Budget is what a call may still spend on extra attempts in its whole tree.
// Lending moves part of it to a child call, so that the sum never grows.
type Budget struct {
	remaining int
}

// NewBudget returns a budget of n extra attempts.
func NewBudget(n int) Budget { return Budget{remaining: max(0, n)} }

// Remaining returns the number of extra attempts still free.
func (b *Budget) Remaining() int { return b.remaining }

// Spend takes one extra attempt and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.remaining == 0 {
		return false
	}
	b.remaining--
	return true
}

// Lend takes the part of the budget that a child call may spend: half of it,
// rounded up, so that calls running side by side find some left.
func (b *Budget) Lend() int {
	n := (b.remaining + 1) / 2
	b.remaining -= n
	return n
}

// Return gives back what a child call did not spend of a loan. A child that
// claims more than the loan gets the loan at most.
func (b *Budget) Return(loan, unspent int) {
	b.remaining += min(loan, max(0, unspent))
}

const (
	// creditPerCall is the extra attempts that each root call allows. With what idle
	// nodes get besides, those of all trees stay below a tenth of the root calls.
	creditPerCall = 0.07
	poolCapacity  = 4.0
	// refillPerSecond lets a node with little traffic retry at all, in attempts a second.
	refillPerSecond = 0.05
)

// BudgetPool bounds the extra attempts of all trees that enter at a node. Root calls
// draw their budgets from it and give back what they did not spend.
type BudgetPool struct {
	tokens     float64
	refilledAt time.Time
}

// NewBudgetPool returns a bound that allows a single extra attempt at first.
func NewBudgetPool() *BudgetPool { return &BudgetPool{tokens: 1} }

// Draw counts a root call and takes up to n extra attempts for its tree.
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

// Return gives back what a tree did not spend.
func (p *BudgetPool) Return(b Budget) { p.tokens = min(poolCapacity, p.tokens+float64(b.remaining)) }
