// Package clock provides the clock of the reducer. Unlike Go's monotonic clock, it includes
// the time for which the machine was suspended; unlike the wall clock, it does not jump
// when the time is set.
package clock
