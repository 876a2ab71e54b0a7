// Package fleet lays out a whole deployment on loopback addresses and runs it
// with stand-ins, in one process or as processes of their own.
package fleet
