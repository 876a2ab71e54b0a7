// Package retry bounds extra attempts: a budget that travels with each call over
// its whole tree, a ratio that the budgets of all trees entering at a node are
// drawn from, and the ledger that keeps repeats of a non-idempotent call from
// running twice.
package retry
