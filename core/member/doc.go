// Package member holds what a node knows about its peers: their announcements, which
// nodes spread by gossip, and whether each peer is reachable.
package member
