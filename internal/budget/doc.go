// Package budget divides the memory and the descriptors of a process between the kinds of
// connections and the data that they hold, so that clients cannot exhaust either.
package budget
