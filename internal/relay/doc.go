// Package relay implements the data path of a node. It forwards requests from callers,
// the local target and other nodes to the local target or to another node, and returns
// the responses. All decisions are verdicts of the control loop.
package relay
