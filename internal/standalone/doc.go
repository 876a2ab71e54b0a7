// Package standalone puts a node together from settings of the product's own,
// with the product's own protocols towards callers, targets, operators and store.
package standalone
