// Package script runs end-to-end tests of a program as testscript files. Store, targets and
// callers are simulated by the standin program, in separate processes.
package script
