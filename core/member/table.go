package member

import (
	"slices"
	"strings"
	"time"
)

const (
	// UnreachableRetention without news removes a silent peer.
	UnreachableRetention = 10 * time.Minute
	// gossipRoundsPerChange is how many gossip messages carry a fresh change.
	gossipRoundsPerChange = 12
	// FailureThreshold failed attempts in a row, strikeApart from each other, make a peer
	// silent: several messages that meet a process which is just starting fail at once.
	FailureThreshold   = 2
	minFailureInterval = 400 * time.Millisecond
)

// MergeResult tells how an announcement altered the table.
type MergeResult uint8

// Changes made by Hear.
const (
	Stale MergeResult = iota
	Updated
	Joined // unknown before, or started again
)

// Table holds the known peers in order of name. The zero value is empty.
type Table struct {
	peers        []Peer
	gossipCursor int // rotation of Rumors
}

// Merge merges one announcement.
func (t *Table) Merge(now time.Time, m Member) MergeResult {
	i, found := t.find(m.Name)
	if !found {
		t.peers = slices.Insert(t.peers, i, Peer{Member: m, LastHeard: now, gossipRounds: gossipRoundsPerChange})
		return Joined
	}
	p := &t.peers[i]
	if !m.supersedes(p.Member) {
		return Stale
	}
	change := Updated
	if m.Incarnation != p.Incarnation {
		change = Joined
	}
	if change == Joined {
		p.Unreachable, p.failures, p.lastFailure = false, 0, time.Time{}
	}
	p.Member, p.LastHeard, p.gossipRounds = m, now, gossipRoundsPerChange
	return change
}

// Get returns the peer of that name.
func (t *Table) Get(name string) (Peer, bool) {
	if i, ok := t.find(name); ok {
		return t.peers[i], true
	}
	return Peer{}, false
}

// All returns the peers in order of name; the caller must not keep the slice.
func (t *Table) All() []Peer { return t.peers }

// RecordContact notes whether the peer could be reached and reports whether that is news.
func (t *Table) RecordContact(now time.Time, name string, reached bool) bool {
	i, ok := t.find(name)
	if !ok {
		return false
	}
	p := &t.peers[i]
	wasUnreachable := p.Unreachable
	if reached {
		p.LastHeard, p.failures, p.Unreachable = now, 0, false
		return wasUnreachable
	}
	if now.Sub(p.lastFailure) < minFailureInterval {
		return false
	}
	p.failures++
	p.lastFailure = now
	p.Unreachable = p.failures >= FailureThreshold
	return p.Unreachable && !wasUnreachable
}

// Remove drops the peer of that name and reports whether it was known.
func (t *Table) Remove(name string) bool {
	i, ok := t.find(name)
	if ok {
		t.peers = slices.Delete(t.peers, i, i+1)
	}
	return ok
}

// NextGossip returns the announcements one gossip message carries: fresh changes
// first, up to limit, then a few of the others in rotation.
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

// RemoveExpired removes the silent peers without news for ForgetAfter and returns
// their names.
func (t *Table) RemoveExpired(now time.Time) []string {
	var removed []string
	t.peers = slices.DeleteFunc(t.peers, func(p Peer) bool {
		expired := p.Unreachable && now.Sub(p.LastHeard) >= UnreachableRetention
		if expired {
			removed = append(removed, p.Name)
		}
		return expired
	})
	return removed
}

func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.peers, name, func(p Peer, n string) int {
		return strings.Compare(p.Name, n)
	})
}
