package member

import (
	"slices"
	"strings"
	"time"
)

const (
	// UnreachableRetention without news removes a silent peer.
	UnreachableRetention = 10 * time.Minute
	// hotRounds is how many gossip messages carry a fresh change.
	hotRounds = 12
	// FailureThreshold failed attempts in a row, strikeApart from each other, make a peer
	// silent: several messages that meet a process which is just starting fail at once.
	FailureThreshold = 2
	strikeApart      = 400 * time.Millisecond
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
	peers []Peer
	next  int // rotation of Rumors
}

// Merge merges one announcement.
func (t *Table) Merge(now time.Time, m Member) MergeResult {
	i, found := t.find(m.Name)
	if !found {
		t.peers = slices.Insert(t.peers, i, Peer{Member: m, LastHeard: now, hot: hotRounds})
		return Joined
	}
	p := &t.peers[i]
	if !m.newer(p.Member) {
		return Stale
	}
	change := Updated
	if m.Incarnation != p.Incarnation {
		change = Joined
	}
	if change == Joined {
		p.Unreachable, p.strikes, p.struck = false, 0, time.Time{}
	}
	p.Member, p.LastHeard, p.hot = m, now, hotRounds
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
	was := p.Unreachable
	if reached {
		p.LastHeard, p.strikes, p.Unreachable = now, 0, false
		return was
	}
	if now.Sub(p.struck) < strikeApart {
		return false
	}
	p.strikes++
	p.struck = now
	p.Unreachable = p.strikes >= FailureThreshold
	return p.Unreachable && !was
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
func (t *Table) NextGossip(limit, rotate int) []Member {
	var out []Member
	for i := range t.peers {
		p := &t.peers[i]
		if p.hot > 0 && len(out) < limit {
			p.hot--
			out = append(out, p.Member)
		}
	}
	for range min(rotate, len(t.peers)) {
		t.next = (t.next + 1) % len(t.peers)
		out = append(out, t.peers[t.next].Member)
	}
	return out
}

// RemoveExpired removes the silent peers without news for ForgetAfter and returns
// their names.
func (t *Table) RemoveExpired(now time.Time) []string {
	var gone []string
	t.peers = slices.DeleteFunc(t.peers, func(p Peer) bool {
		old := p.Unreachable && now.Sub(p.LastHeard) >= UnreachableRetention
		if old {
			gone = append(gone, p.Name)
		}
		return old
	})
	return gone
}

func (t *Table) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.peers, name, func(p Peer, n string) int {
		return strings.Compare(p.Name, n)
	})
}
