package core

import "time"

// clockSkew is the result of comparing a peer's clock with the local clock.
type clockSkew uint8

const (
	skewNone        clockSkew = iota
	skewPeerBehind            // the peer's clock was stopped for some time
	skewLocalBehind           // the local clock was stopped for some time
)

const (
	// maxDriftDivisor sets the largest drift between two working clocks:
	// 1/maxDriftDivisor of the elapsed time.
	maxDriftDivisor = 2000
	// maxMessageDelay is the message delay up to which a clock does not count as
	// behind.
	maxMessageDelay = 250 * time.Millisecond
)

// peerClock holds the largest offset seen of a peer's clock from the local clock.
type peerClock struct {
	incarnation uint64
	offset      time.Duration
	at          time.Time
}

// comparePeerClock compares the reading of a peer's clock, which counts from the
// start of its process, with the local clock. A process that was suspended together
// with its clock relies on leases that have expired; the comparison lets other
// nodes, or the process itself, detect this.
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
		s.expireLease(name)
		return skewLocalBehind
	default:
		return skewNone
	}
}

// expireLease handles a local clock that was stopped, as the comparison with a peer has
// shown. The lease may have expired meanwhile, so no tokens are granted until it is renewed.
func (s *State) expireLease(peer string) {
	s.shardOwner.RenewLease(time.Time{})
	s.addNotice(Notice{Kind: NoticeLocalClockBehind, Peer: peer})
}
