// Package member keeps what a node knows of its peers: their announcements, the
// heartbeats gossiped between nodes, and who has fallen silent.
package member
