package retry

import "time"

// Budget is what a call may still spend on extra attempts in its whole tree.
// Lending moves part of it to a child call, so that the sum never grows.
type Budget struct {
	left int
}

// NewBudget returns a budget of n extra attempts.
func NewBudget(n int) Budget { return Budget{left: max(0, n)} }

// Left returns the number of extra attempts still free.
func (b *Budget) Left() int { return b.left }

// Spend takes one extra attempt and reports whether there was one.
func (b *Budget) Spend() bool {
	if b.left == 0 {
		return false
	}
	b.left--
	return true
}

// Lend takes the part of the budget that a child call may spend: half of it,
// rounded up, so that calls running side by side find some left.
func (b *Budget) Lend() int {
	n := (b.left + 1) / 2
	b.left -= n
	return n
}

// Return gives back what a child call did not spend of a loan. A child that
// claims more than the loan gets the loan at most.
func (b *Budget) Return(loan, unspent int) {
	b.left += min(loan, max(0, unspent))
}

const (
	// ratioGain is the share of first attempts that may be repeated.
	ratioGain = 0.1
	ratioCap  = 20.0
	// ratioRefill lets a node with little traffic retry at all, in retries a second.
	ratioRefill = 1.0
)

// Ratio bounds a node's extra attempts to a share of its first attempts.
type Ratio struct {
	tokens float64
	last   time.Time
}

// NewRatio returns a full bound.
func NewRatio() *Ratio { return &Ratio{tokens: ratioCap} }

// First counts a first attempt.
func (r *Ratio) First() { r.tokens = min(ratioCap, r.tokens+ratioGain) }

// Spend takes one extra attempt and reports whether the ratio allows it.
func (r *Ratio) Spend(now time.Time) bool {
	if !r.last.IsZero() {
		r.tokens = min(ratioCap, r.tokens+ratioRefill*now.Sub(r.last).Seconds())
	}
	r.last = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
