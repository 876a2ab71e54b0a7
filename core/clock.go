package core

import "time"

// pace tells how a peer's clock has gone, compared with this node's.
type clockSkew uint8

const (
	skewNone        clockSkew = iota
	skewPeerBehind            // the peer's clock has stood still for a while
	skewLocalBehind           // this node's own clock has
)

const (
	// clockDrift is the rate by which two sound clocks may part, a part in so many.
	maxDriftDivisor = 2000
	// clockSlack is the delay of a message that does not make a clock suspect.
	maxMessageDelay = 250 * time.Millisecond
)

// clock is the largest reading of a peer's clock against this node's.
type peerClock struct {
	incarnation uint64
	offset      time.Duration
	at          time.Time
}

// compare reads a peer's clock, which counts from the start of its process. A
// process that was stopped together with its clock believes in leases that have
// run out; this is how others, or it itself, find out.
func (s *State) comparePeerClock(now time.Time, name string, reading time.Duration) clockSkew {
	p, ok := s.peers.Get(name)
	if !ok {
		return skewNone
	}
	current := peerClock{incarnation: p.Incarnation, offset: reading - now.Sub(s.started), at: now}
	c, known := s.peerClocks[name]
	if !known || c.incarnation != current.incarnation {
		s.peerClocks[name] = current
		return skewNone
	}
	drift := now.Sub(c.at) / maxDriftDivisor
	if current.offset > c.offset-drift {
		s.peerClocks[name] = current
	}
	switch {
	case current.offset < c.offset-drift-maxMessageDelay:
		return skewPeerBehind
	case current.offset > c.offset+drift+maxMessageDelay:
		s.distrustLocalClock(name)
		return skewLocalBehind
	default:
		return skewNone
	}
}

// suspectOwnClock stops the granting of tokens until the lease has been renewed.
func (s *State) distrustLocalClock(peer string) {
	s.shardOwner.RenewLease(time.Time{})
	s.addNotice(Notice{Kind: NoticeLocalClockBehind, Peer: peer})
}
