package tcp

import (
	"container/list"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// phase is the part of an exchange that a connection is in.
type phase int

// Phases of a connection, in the order in which connections are evicted.
const (
	phaseIdle   phase = iota // between requests
	phaseFlush               // closed by its server while its client has not read all of the response
	phaseHead                // accepted, or a request head is being read
	phaseActive              // a request is in progress
	phaseCount
)

const (
	// stallTime is how long a client may send no byte of a body, or read none of a response,
	// before its connection may be evicted.
	stallTime = 1 * time.Second
	// A connection may also be evicted if it has sent its body for slowBodyTime with less than
	// minBodyRate bytes per second.
	slowBodyTime = 5 * time.Second
	minBodyRate  = 4 << 10
	// minHeadAge is longer than a request head takes that is sent at once.
	minHeadAge = 100 * time.Millisecond
	// otherSourceTime is how long an address that was refused or accepted counts as asking.
	otherSourceTime = 10 * time.Second
)

// connList lists connections in the order in which they came to a phase.
type connList struct{ list.List }

// sources counts the connections by client address.
type sources struct {
	counts map[netip.Addr]int
	// The last two addresses that have asked for a connection, the latest first, and when.
	asked [2]struct {
		address netip.Addr
		at      time.Time
	}
}

// ask records that an address asks for a connection.
func (s *sources) ask(a netip.Addr, now time.Time) {
	if s.asked[0].address != a {
		s.asked[1] = s.asked[0]
	}
	s.asked[0].address, s.asked[0].at = a, now
}

// othersAsk reports whether another address has asked recently.
func (s *sources) othersAsk(a netip.Addr, now time.Time) bool {
	for _, other := range s.asked {
		if other.address != a && other.address.IsValid() && now.Sub(other.at) < otherSourceTime {
			return true
		}
	}
	return false
}

func (s *sources) add(a netip.Addr) { s.counts[a]++ }

func (s *sources) remove(a netip.Addr) {
	if s.counts[a]--; s.counts[a] <= 0 {
		delete(s.counts, a)
	}
}

// anyAddress stands for connections of all addresses.
var anyAddress netip.Addr

// maxFromAddress is the part of the connections that one address may hold while others ask.
func (l *Listener) maxFromAddress() int { return l.MaxConns - (l.MaxConns+7)/8 }

// admit adds a connection. If the limit is reached and no connection can be evicted, it
// refuses the connection and returns nil. While other addresses ask, an address that holds
// its part replaces only connections of its own.
func (l *Listener) admit(raw *net.TCPConn) *serverConn {
	now := time.Now()
	from := remoteAddr(raw)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources.ask(from, now)
	if l.MaxConns > 0 {
		why, victims := EndedRefused, anyAddress
		full := len(l.conns) >= l.MaxConns
		if l.sources.counts[from] >= l.maxFromAddress() && l.sources.othersAsk(from, now) {
			why, victims, full = EndedAddress, from, true
		}
		if full && !l.evict(now, victims) {
			l.ended(why, from, nil)
			l.refuse(raw)
			return nil
		}
	}
	c := &serverConn{Conn: newConn(raw), listener: l, from: from, state: http.StateNew, phaseStart: now}
	l.conns[c] = struct{}{}
	l.sources.add(from)
	first := phaseHead
	if l.Messages {
		first = phaseIdle
	}
	c.place(first)
	return c
}

// evict ends a connection of an address that holds no complete request, and reports whether
// there was one: the one that has been idle the longest, or else the one whose response has waited
// the longest for its client after the server closed it, or else the one whose request head has
// been incomplete the longest, or else one whose body or response does not get on. Connections of
// an address that holds more than half of the limit go first. What has been idle for less than
// MinIdle, unread for less than stallTime, or in a head for less than minHeadAge, stays.
func (l *Listener) evict(now time.Time, from netip.Addr) bool {
	if from == anyAddress {
		if most := l.largestSource(); most != anyAddress && l.evict(now, most) {
			return true
		}
	}
	if c := l.oldest(phaseIdle, from, func(c *serverConn) bool {
		return c.unseen == 0 && now.Sub(c.phaseStart) >= l.MinIdle && !c.hasUnreadData()
	}); c != nil {
		l.end(c, EndedIdle)
		return true
	}
	if c := l.oldest(phaseFlush, from, func(c *serverConn) bool { return now.Sub(c.phaseStart) >= stallTime }); c != nil {
		l.end(c, EndedUnread)
		return true
	}
	if c := l.oldest(phaseHead, from, func(c *serverConn) bool { return now.Sub(c.phaseStart) >= minHeadAge }); c != nil {
		l.end(c, EndedHead)
		return true
	}
	return l.evictStalled(now, from)
}

// evictStalled ends the connection that has been in progress the longest of those whose client
// does not send the rest of a body or does not read the response.
func (l *Listener) evictStalled(now time.Time, from netip.Addr) bool {
	if c := l.oldest(phaseActive, from, func(c *serverConn) bool { return c.bodyStalled(now) }); c != nil {
		l.end(c, EndedBody)
		return true
	}
	if c := l.oldest(phaseActive, from, func(c *serverConn) bool { return c.responseStalled(now) }); c != nil {
		l.end(c, EndedUnread)
		return true
	}
	return false
}

// EvictStalled ends a connection whose client does not send the rest of a body or does not read
// the response, and reports whether there was one. Its handler returns soon after.
func (l *Listener) EvictStalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.evictStalled(time.Now(), anyAddress)
}

// largestSource returns the address that holds more than half of the limit, if there is one.
func (l *Listener) largestSource() netip.Addr {
	for a, n := range l.sources.counts {
		if n > l.MaxConns/2 && len(l.sources.counts) > 1 {
			return a
		}
	}
	return anyAddress
}

// oldest returns the first connection in a phase that is from an address and fits.
func (l *Listener) oldest(p phase, from netip.Addr, fits func(c *serverConn) bool) *serverConn {
	for e := l.phases[p].Front(); e != nil; e = e.Next() {
		if c := e.Value.(*serverConn); (from == anyAddress || c.from == from) && !c.http2 && fits(c) {
			return c
		}
	}
	return nil
}

// end removes a connection and closes it. A request whose head is incomplete gets the refusal.
func (l *Listener) end(c *serverConn, why Ending) {
	l.ended(why, c.from, nil)
	if c.phase == phaseHead && l.Refusal != "" {
		c.writeAtOnce(l.Refusal)
	}
	l.remove(c)
	_ = c.Conn.Close()
}

// remove takes a connection out of the accounts.
func (l *Listener) remove(c *serverConn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	l.sources.remove(c.from)
	l.phases[c.phase].Remove(c.position)
	c.position = nil
	c.releaseHead()
}

// chargeHead charges the memory of the head that a connection reads. If the limit is reached it
// ends the connections whose heads have been incomplete the longest. It returns false if the
// connection itself has been ended.
func (l *Listener) chargeHead(c *serverConn) bool {
	cost := c.meter.cost()
	l.headHeld += cost - c.headCost
	c.headCost = cost
	for l.MaxHeadBytes > 0 && l.headHeld > l.MaxHeadBytes {
		victim, why := c, EndedHeadRoom
		if e := l.phases[phaseHead].Front(); e != nil && e.Value.(*serverConn) != c {
			victim, why = e.Value.(*serverConn), EndedHead
		}
		l.end(victim, why)
		if victim == c {
			return false
		}
	}
	return true
}

// remoteAddr returns the address of a client.
func remoteAddr(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
