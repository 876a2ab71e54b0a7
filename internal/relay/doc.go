// Package relay moves a call's bytes as the control loop decides: from a caller,
// a target or a node, to the local target or to another node, and the answer
// back. It decides nothing itself.
package relay
