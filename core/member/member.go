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
	NodeAddr         netip.AddrPort `json:"node"`             // calls
	ControlAddr      netip.AddrPort `json:"control"`          // messages over jsonrpc2
	Incarnation      uint64         `json:"inc"`              // rises with each start of the process
	Revision         uint64         `json:"rev"`              // rises with each change of the announcement
	ManifestVersion  uint64         `json:"version"`          // manifest in force
	Draining         bool           `json:"drain,omitempty"`  // the node is leaving: it owns and plans nothing
	TargetClosed     bool           `json:"closed,omitempty"` // the target takes no work
	Slots            int            `json:"slots,omitempty"`  // calls the target runs at once, 0 if it did not say
	TargetStartMilli int64          `json:"began,omitempty"`  // start of the target, in milliseconds since 1970
}

// supersedes reports whether m supersedes o.
func (m Member) supersedes(o Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, o.Incarnation), cmp.Compare(m.Revision, o.Revision)) > 0
}

// Peer is a member together with what this node has seen of it.
type Peer struct {
	Member
	LastHeard   time.Time // last news of the member, from anyone
	Unreachable bool      // the last attempts to reach it failed

	failures     int       // failed attempts in a row
	lastFailure  time.Time // when the last of them was counted
	gossipRounds int       // gossip rounds that still carry it
}

// Live reports whether the peer's node takes part in the fleet.
func (p *Peer) Live() bool { return !p.Draining && !p.Unreachable }
