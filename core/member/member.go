package member

import (
	"cmp"
	"fmt"
	"net/netip"
	"time"
)

// Member is one node's announcement of itself and its local target.
type Member struct {
	Name             string         `json:"name"`
	Service          string         `json:"service"`
	Domain           string         `json:"domain"`
	Region           string         `json:"region,omitempty"`
	NodeAddr         netip.AddrPort `json:"node"`              // address for calls from other nodes
	ControlAddr      netip.AddrPort `json:"control"`           // address for control messages (jsonrpc2)
	Incarnation      uint64         `json:"inc"`               // increases with each start of the process
	Revision         uint64         `json:"rev"`               // increases with each change of the announcement
	ManifestVersion  uint64         `json:"version"`           // version of the active manifest
	Draining         bool           `json:"drain,omitempty"`   // the node is leaving; it owns no shards and makes no admission plans
	TargetClosed     bool           `json:"closed,omitempty"`  // the target accepts no calls
	Slots            int            `json:"slots,omitempty"`   // calls the target runs concurrently, 0 if unknown
	TargetStartMilli int64          `json:"began,omitempty"`   // start of the target, Unix time in milliseconds
	TargetLeaving    bool           `json:"leaving,omitempty"` // the target with that start has announced that it leaves, or has deregistered
	ColdFor          time.Duration  `json:"cold,omitempty"`    // time for which the target stays cold after the announcement
}

// Limits on the values in an announcement. They are far above what a fleet uses, and keep
// what another writer has left in the store from being used.
const (
	maxNameBytes = 256
	// MaxSlots is the largest number of slots that a target may declare.
	MaxSlots = 1 << 20
	// maxCounter leaves room above the counter of a foreign announcement of the own name.
	maxCounter = 1 << 63
	maxColdFor = 24 * time.Hour
)

// Validate returns an error that names the first field with a value that no node announces.
func (m *Member) Validate() error {
	for _, f := range []struct{ field, value string }{{"name", m.Name}, {"service", m.Service}, {"domain", m.Domain}} {
		if f.value == "" || len(f.value) > maxNameBytes {
			return fmt.Errorf("%s has %d bytes, want 1 to %d", f.field, len(f.value), maxNameBytes)
		}
	}
	for _, f := range []struct {
		field string
		value netip.AddrPort
	}{{"node", m.NodeAddr}, {"control", m.ControlAddr}} {
		if a := f.value.Addr(); !a.IsValid() || a.IsUnspecified() || a.IsMulticast() || f.value.Port() == 0 {
			return fmt.Errorf("%s address %q cannot be connected to", f.field, f.value)
		}
	}
	if m.NodeAddr.Addr().Is4() != m.ControlAddr.Addr().Is4() {
		return fmt.Errorf("addresses %s and %s are of different families", m.NodeAddr, m.ControlAddr)
	}
	if m.Slots < 0 || m.Slots > MaxSlots {
		return fmt.Errorf("slots are %d, want 0 to %d", m.Slots, MaxSlots)
	}
	if m.ColdFor < 0 || m.ColdFor > maxColdFor {
		return fmt.Errorf("target is cold for %s, want 0 to %s", m.ColdFor, maxColdFor)
	}
	if m.Incarnation >= maxCounter || m.Revision >= maxCounter {
		return fmt.Errorf("incarnation %d or revision %d is out of range", m.Incarnation, m.Revision)
	}
	return nil
}

// Supersedes reports whether m is a newer announcement than o.
func (m Member) Supersedes(o Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, o.Incarnation), cmp.Compare(m.Revision, o.Revision)) > 0
}

// Peer is a member with what this node has observed of it.
type Peer struct {
	Member
	// LeftStartMilli is the start of the latest target that any process of the node has announced
	// as leaving, 0 if none has, in milliseconds since 1970.
	LeftStartMilli int64
	LastHeard      time.Time // last contact, or last new announcement from any node
	Unreachable    bool      // the last FailureThreshold attempts to reach it failed

	failures     int       // counted failed attempts in a row
	lastFailure  time.Time // when a failed attempt was last counted
	gossipRounds int       // gossip messages that still carry the announcement as a recent change
}

// UnannouncedLeftStart returns LeftStartMilli if the present process of the node has announced
// neither that this target leaves nor a later target, and 0 otherwise.
func (p *Peer) UnannouncedLeftStart() int64 {
	if p.TargetLeaving || p.TargetStartMilli > p.LeftStartMilli {
		return 0
	}
	return p.LeftStartMilli
}

// rememberLeaving updates LeftStartMilli.
func (p *Peer) rememberLeaving() {
	if p.TargetLeaving {
		p.LeftStartMilli = max(p.LeftStartMilli, p.TargetStartMilli)
	}
}

// Live reports whether the peer is reachable and not draining.
func (p *Peer) Live() bool { return !p.Draining && !p.Unreachable }
