// Package standalone runs a node with the product's own settings and its own protocols for
// callers, targets, operators and the store.
package standalone
