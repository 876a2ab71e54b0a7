// Package document reads the project's JSON documents strictly: against their
// schema first, so that every fault is reported at once with its place.
package document
