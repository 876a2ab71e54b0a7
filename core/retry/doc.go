// Package retry bounds extra attempts: a budget that travels with each call over
// its whole tree, a ratio bound for each node, and the ledger that keeps repeats
// of a non-idempotent call from running twice.
package retry
