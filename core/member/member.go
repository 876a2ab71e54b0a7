package member

import (
	"cmp"
	"net/netip"
	"time"
)

// Member is one node's announcement of itself and its local target.
type Member struct {
	Name             string         `json:"name"`
	Service          string         `json:"service"`
	Domain           string         `json:"domain"`
	Region           string         `json:"region,omitempty"`
	NodeAddr         netip.AddrPort `json:"node"`             // address for calls from other nodes
	ControlAddr      netip.AddrPort `json:"control"`          // address for control messages (jsonrpc2)
	Incarnation      uint64         `json:"inc"`              // increases with each start of the process
	Revision         uint64         `json:"rev"`              // increases with each change of the announcement
	ManifestVersion  uint64         `json:"version"`          // version of the active manifest
	Draining         bool           `json:"drain,omitempty"`  // the node is leaving; it owns no shards and makes no admission plans
	TargetClosed     bool           `json:"closed,omitempty"` // the target accepts no calls
	Slots            int            `json:"slots,omitempty"`  // calls the target runs concurrently, 0 if unknown
	TargetStartMilli int64          `json:"began,omitempty"`  // start of the target, Unix time in milliseconds
}

// supersedes reports whether m is a newer announcement than o.
func (m Member) supersedes(o Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, o.Incarnation), cmp.Compare(m.Revision, o.Revision)) > 0
}

// Peer is a member with what this node has observed of it.
type Peer struct {
	Member
	LastHeard   time.Time // last contact, or last new announcement from any node
	Unreachable bool      // the last FailureThreshold attempts to reach it failed

	failures     int       // counted failed attempts in a row
	lastFailure  time.Time // when a failed attempt was last counted
	gossipRounds int       // gossip messages that still carry the announcement as a recent change
}

// Live reports whether the peer is reachable and not draining.
func (p *Peer) Live() bool { return !p.Draining && !p.Unreachable }
