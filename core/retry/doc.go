// Package retry bounds extra attempts: a budget that travels with each call through
// its call tree, a pool from which the budgets of all trees that enter at a node are
// drawn, and a limiter of the extra attempts that each service receives. It also has
// the deduplication table that keeps repeats of a non-idempotent call from running
// twice.
package retry
