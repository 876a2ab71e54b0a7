// Package script runs whole sessions of a program in tests, with the stand-ins as
// processes of their own.
package script
