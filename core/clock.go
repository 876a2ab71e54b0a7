package core

import "time"

// pace tells how a peer's clock has gone, compared with this node's.
type pace uint8

const (
	paceEven   pace = iota
	paceBehind      // the peer's clock has stood still for a while
	paceAhead       // this node's own clock has
)

const (
	// clockDrift is the rate by which two sound clocks may part, a part in so many.
	clockDrift = 2000
	// clockSlack is the delay of a message that does not make a clock suspect.
	clockSlack = 250 * time.Millisecond
)

// clock is the largest reading of a peer's clock against this node's.
type clock struct {
	incarnation uint64
	offset      time.Duration
	at          time.Time
}

// compare reads a peer's clock, which counts from the start of its process. A
// process that was stopped together with its clock believes in leases that have
// run out; this is how others, or it itself, find out.
func (s *State) compare(now time.Time, name string, reading time.Duration) pace {
	p, ok := s.peers.Get(name)
	if !ok {
		return paceEven
	}
	fresh := clock{incarnation: p.Incarnation, offset: reading - now.Sub(s.started), at: now}
	c, known := s.peerClocks[name]
	if !known || c.incarnation != fresh.incarnation {
		s.peerClocks[name] = fresh
		return paceEven
	}
	drift := now.Sub(c.at) / clockDrift
	if fresh.offset > c.offset-drift {
		s.peerClocks[name] = fresh
	}
	switch {
	case fresh.offset < c.offset-drift-clockSlack:
		return paceBehind
	case fresh.offset > c.offset+drift+clockSlack:
		s.suspectOwnClock(name)
		return paceAhead
	default:
		return paceEven
	}
}

// suspectOwnClock stops the granting of tokens until the lease has been renewed.
func (s *State) suspectOwnClock(peer string) {
	s.shardOwner.RenewLease(time.Time{})
	s.addNotice(Notice{Kind: NoticeLocalClockBehind, Peer: peer})
}
