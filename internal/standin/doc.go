// Package standin plays the parts around the system in tests, the demo and the
// bench: the platform's store, targets, and callers.
package standin
