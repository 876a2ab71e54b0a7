// Package clock tells the time that the reducer judges by: it counts the time
// for which the machine was suspended, and no setting of the wall clock moves it.
package clock
