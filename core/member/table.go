package member

import (
	"slices"
	"strings"
	"time"
)

const (
	// UnreachableRetention is how long after its last contact an unreachable peer is kept.
	UnreachableRetention = 10 * time.Minute
	// gossipRoundsPerChange is how many gossip messages carry a changed announcement ahead
	// of the rotation over all peers.
	gossipRoundsPerChange = 8
	// FailureThreshold is the number of failed attempts in a row after which a peer is
	// unreachable. A failure within minFailureInterval of the last counted one is not
	// counted: several messages to a process that is just starting fail at the same time.
	FailureThreshold   = 2
	minFailureInterval = 400 * time.Millisecond
)

// MergeResult says how an announcement changed the table.
type MergeResult uint8

// Results of Merge.
const (
	Stale   MergeResult = iota // not newer than the known announcement
	Updated                    // newer announcement of a known process
	Joined                     // unknown peer, or a known one that has restarted
)

// Table holds the known peers, sorted by name. The zero value is an empty table.
type Table struct {
	peers        []Peer
	gossipCursor int // index of the peer that NextGossip added last
	version      uint64
}

// Version returns a number that changes with every announcement and with every change of a
// peer's reachability.
func (t *Table) Version() uint64 { return t.version }

// SetManifestVersion records the version that a peer has said it has.
func (t *Table) SetManifestVersion(name string, version uint64) {
	if i, ok := t.find(name); ok {
		t.peers[i].ManifestVersion = version
	}
}

// Merge adds an announcement if it is newer than the known one of the same peer. A
// restarted peer counts as reachable.
func (t *Table) Merge(now time.Time, m Member) MergeResult {
	i, found := t.find(m.Name)
	if !found {
		t.version++
		p := Peer{Member: m, LastHeard: now, gossipRounds: gossipRoundsPerChange}
		p.rememberLeaving()
		t.peers = slices.Insert(t.peers, i, p)
		return Joined
	}
	p := &t.peers[i]
	if !m.Supersedes(p.Member) {
		return Stale
	}
	t.version++
	result := Updated
	if m.Incarnation != p.Incarnation {
		result = Joined
	}
	if result == Joined {
		p.Unreachable, p.failures, p.lastFailure = false, 0, time.Time{}
	}
	p.Member, p.LastHeard, p.gossipRounds = m, now, gossipRoundsPerChange
	p.rememberLeaving()
	return result
}

// Get returns the peer with the given name.
func (t *Table) Get(name string) (Peer, bool) {
	if i, ok := t.find(name); ok {
		return t.peers[i], true
	}
	return Peer{}, false
}

// All returns the peers, sorted by name. The slice is valid until the table changes.
func (t *Table) All() []Peer { return t.peers }

// RecordContact records an attempt to reach a peer and reports whether it changed the
// peer's reachability.
func (t *Table) RecordContact(now time.Time, name string, reached bool) bool {
	i, ok := t.find(name)
	if !ok {
		return false
	}
	p := &t.peers[i]
	wasUnreachable := p.Unreachable
	if reached {
		p.LastHeard, p.failures, p.Unreachable = now, 0, false
		if wasUnreachable {
			t.version++
		}
		return wasUnreachable
	}
	if now.Sub(p.lastFailure) < minFailureInterval {
		return false
	}
	p.failures++
	p.lastFailure = now
	p.Unreachable = p.failures >= FailureThreshold
	if p.Unreachable && !wasUnreachable {
		t.version++
		return true
	}
	return false
}

// Remove removes the peer with the given name and reports whether it was known.
func (t *Table) Remove(name string) bool {
	i, ok := t.find(name)
	if ok {
		t.version++
		t.peers = slices.Delete(t.peers, i, i+1)
	}
	return ok
}

// NextGossip returns the announcements for one gossip message: up to limit recently
// changed ones, then up to others more, taken from all peers in rotation. A peer can
// appear twice.
func (t *Table) NextGossip(limit, others int) []Member {
	var out []Member
	for i := range t.peers {
		p := &t.peers[i]
		if p.gossipRounds > 0 && len(out) < limit {
			p.gossipRounds--
			out = append(out, p.Member)
		}
	}
	for range min(others, len(t.peers)) {
		t.gossipCursor = (t.gossipCursor + 1) % len(t.peers)
		out = append(out, t.peers[t.gossipCursor].Member)
	}
	return out
}

// RemoveExpired removes the unreachable peers last heard of at least UnreachableRetention
// ago and returns their names.
func (t *Table) RemoveExpired(now time.Time) []string {
	var removed []string
	t.peers = slices.DeleteFunc(t.peers, func(p Peer) bool {
		expired := p.Unreachable && now.Sub(p.LastHeard) >= UnreachableRetention
		if expired {
			removed = append(removed, p.Name)
		}
		return expired
	})
	t.version += uint64(len(removed))
	return removed
}

func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.peers, name, func(p Peer, n string) int {
		return strings.Compare(p.Name, n)
	})
}
