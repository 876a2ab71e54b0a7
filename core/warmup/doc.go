// Package warmup tracks whether a target is cold, that is, has started lately or has lost its
// caches, and how many calls per second it should receive. It turns reports of the target,
// which may arrive late or out of order, and the lack of reports into the instant at which the
// cold period ends.
package warmup
