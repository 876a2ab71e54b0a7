package tcp

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"syscall"
	"time"
)

// http2Preface is the beginning of an HTTP/2 connection.
var http2Preface = []byte("PRI")

// headTimeSlack is added to the limit on the time of a request head, for the delay of its
// last bytes on the way.
const headTimeSlack = 500 * time.Millisecond

const (
	headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	headTimedOut = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// serverConn is an accepted connection. The listener's mutex guards its fields.
type serverConn struct {
	net.Conn
	listener *Listener
	from     netip.Addr
	state    http.ConnState
	reading  bool // bytes of a request have been read since the last response
	ended    bool // no further request is read
	started  bool // bytes have been read
	// http2 is set if the connection carries HTTP/2, on which pings and other frames arrive
	// also when it is idle. The server ends it without cutting off a request.
	http2 bool

	phase      phase
	position   *list.Element // in the list of its phase
	phaseStart time.Time
	meter      headMeter
	headCost   int // charged to the listener, in bytes
	// unseen is the most bytes that the server's buffer can hold of the next request.
	unseen int

	// Progress of a request in phaseActive. A time is zero while nothing is waited for.
	bodyBytes     int       // received
	bodyWaitStart time.Time // of the last byte of the body
	writeStart    time.Time
	// writeEnd is until when the last response may be written and read, zero for no limit.
	writeEnd time.Time
}

// place moves the connection to a phase. It does nothing for one that has been removed, which
// would otherwise be found again by chargeHead without end.
func (c *serverConn) place(p phase) {
	if _, open := c.listener.conns[c]; !open {
		return
	}
	if c.position != nil {
		c.listener.phases[c.phase].Remove(c.position)
	}
	c.phase, c.phaseStart = p, time.Now()
	c.position = c.listener.phases[p].PushBack(c)
}

// Read reads from the connection. While a request head is read, its memory is charged to the
// listener, and its size and time are limited.
func (c *serverConn) Read(p []byte) (int, error) {
	c.beginRead(len(p))
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.bodyWaitStart = time.Time{}
	if n > 0 {
		if headErr := c.received(p[:n]); headErr != nil {
			return 0, headErr
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.readsHead() && c.reading && !c.ended && c.position != nil {
		c.listener.ended(EndedHeadTime, c.from, nil)
		c.writeAtOnce(headTimedOut)
	}
	return n, err
}

// beginRead records what a read waits for. The server reads a single byte to notice that its
// client disconnects; any longer read in a request is for its body. At the start of a head, the
// part of the server's buffer that the read does not fill holds bytes of it.
func (c *serverConn) beginRead(size int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.phase == phaseActive && size > 1:
		c.bodyWaitStart = time.Now()
	case c.phase == phaseIdle && c.started && !c.http2 && !c.listener.Messages && c.meter.bytes == 0:
		c.unseen = 0
		if n := serverBufferBytes - size; n > 0 {
			c.meter.addUnseen(n)
			c.reading = true
			c.beginHead()
		}
	}
}

// received accounts for bytes that have been read. It returns an error if the connection has
// been ended because of them.
func (c *serverConn) received(p []byte) error {
	if !c.started {
		c.started, c.http2 = true, bytes.HasPrefix(p, http2Preface)
	}
	if c.position == nil || c.phase == phaseFlush { // ended while the bytes arrived: the request must not be executed
		return c.endedError()
	}
	if c.ended { // the request had arrived before
		c.ended = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	switch {
	case c.http2:
		c.reading = true
		return nil
	case c.listener.Messages:
		c.place(phaseIdle)
		return nil
	case c.phase == phaseActive:
		c.bodyBytes += len(p)
		c.unseen = min(serverBufferBytes, c.unseen+len(p))
		c.reading = true
		return nil
	}
	if !c.reading {
		c.reading = true
		c.beginHead()
	}
	return c.receivedHead(p)
}

// beginHead starts the time limit of a request head with its first byte.
func (c *serverConn) beginHead() {
	c.place(phaseHead)
	if limit := c.limits().HeaderTimeout; limit > 0 {
		_ = c.Conn.SetReadDeadline(c.phaseStart.Add(limit + headTimeSlack))
	}
}

func (c *serverConn) receivedHead(p []byte) error {
	c.unseen = c.meter.add(p)
	if c.meter.exceeds(c.limits().HeaderBytes) {
		c.listener.ended(EndedHeadSize, c.from, nil)
		c.writeAtOnce(headTooLarge)
		return c.endedError()
	}
	if !c.listener.chargeHead(c) {
		return c.endedError()
	}
	if c.meter.complete { // a complete request is served
		c.beginRequest()
	}
	return nil
}

// beginRequest records that a request is in progress.
func (c *serverConn) beginRequest() {
	c.bodyBytes, c.reading, c.writeEnd = 0, true, time.Time{}
	c.place(phaseActive)
}

// endedError returns the error of a read on a connection that has been ended. The server does
// not answer after it.
func (c *serverConn) endedError() error {
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: io.EOF}
}

func (c *serverConn) limits() Limits {
	if c.listener.Limits == nil {
		return Limits{}
	}
	return c.listener.Limits()
}

// readsHead reports whether the connection is in a request head or has got none yet.
func (c *serverConn) readsHead() bool { return c.phase == phaseHead && !c.listener.Messages }

// Write writes to the connection.
func (c *serverConn) Write(p []byte) (int, error) {
	c.setWriteStart(time.Now())
	defer c.setWriteStart(time.Time{})
	return c.Conn.Write(p)
}

func (c *serverConn) setWriteStart(t time.Time) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.writeStart = t
}

// writeAtOnce writes a short response, as far as the socket takes it without waiting.
func (c *serverConn) writeAtOnce(response string) {
	if c.Conn.SetWriteDeadline(time.Now().Add(time.Millisecond)) == nil {
		_, _ = io.WriteString(c.Conn, response)
	}
}

// bodyStalled reports whether the client does not send the body of its request.
func (c *serverConn) bodyStalled(now time.Time) bool {
	if c.bodyWaitStart.IsZero() {
		return false
	}
	took := now.Sub(c.phaseStart)
	return now.Sub(c.bodyWaitStart) >= stallTime ||
		took >= slowBodyTime && float64(c.bodyBytes) < minBodyRate*took.Seconds()
}

// responseStalled reports whether the client does not read the response.
func (c *serverConn) responseStalled(now time.Time) bool {
	return !c.writeStart.IsZero() && now.Sub(c.writeStart) >= stallTime
}

// SetReadDeadline sets the read deadline, unless the connection has been ended. The operators'
// limits shorten it for request heads and between requests.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.ended {
		return nil
	}
	if latest := c.latestDeadline(); !t.IsZero() && !latest.IsZero() && t.After(latest) {
		t = latest
	}
	return c.Conn.SetReadDeadline(t)
}

// latestDeadline returns the end of the time that the operators' limits allow for the current
// read, or zero if they set none. A connection on which no request has begun keeps the server's.
func (c *serverConn) latestDeadline() time.Time {
	limits := c.limits()
	switch {
	case c.listener.Messages || c.http2:
	case c.phase == phaseHead && c.reading && limits.HeaderTimeout > 0:
		return c.phaseStart.Add(limits.HeaderTimeout + headTimeSlack)
	case c.phase == phaseIdle && limits.IdleTimeout > 0:
		return c.phaseStart.Add(limits.IdleTimeout)
	}
	return time.Time{}
}

// SetWriteDeadline sets the end of the time for writing the current response. The server removes
// it once it has written the response, which its client may not have read by then.
func (c *serverConn) SetWriteDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !t.IsZero() {
		c.writeEnd = t
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets both deadlines, the one for reading unless the connection has been ended.
func (c *serverConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection, once its client has read the response; see flush.
func (c *serverConn) Close() error {
	c.listener.mu.Lock()
	flushes := c.phase == phaseFlush && c.position != nil || c.beginFlush(time.Now())
	if !flushes {
		c.listener.remove(c)
	}
	c.listener.mu.Unlock()
	if flushes {
		return nil
	}
	return c.Conn.Close()
}

// setState records a state of the server. The caller holds the mutex of the listener.
func (c *serverConn) setState(s http.ConnState) {
	c.state = s
	if _, open := c.listener.conns[c]; !open {
		return
	}
	switch s {
	case http.StateActive:
		if c.phase == phaseIdle { // a pipelined request, from the server's buffer alone
			c.meter.addUnseen(c.unseen)
			if !c.http2 && !c.listener.chargeHead(c) {
				return
			}
		}
		if c.phase != phaseActive {
			c.beginRequest()
		}
	case http.StateIdle:
		c.reading = false
		c.releaseHead()
		c.place(phaseIdle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// releaseHead returns the memory of a request head.
func (c *serverConn) releaseHead() {
	c.listener.headHeld -= c.headCost
	c.headCost, c.meter = 0, headMeter{}
}

// endIfIdle ends the connection if no request is being read or has arrived. It returns false
// if one is being read that the server has not taken up: Shutdown would cut it off.
func (c *serverConn) endIfIdle() bool {
	switch {
	case c.http2 || c.phase == phaseFlush || c.state == http.StateActive || c.state == http.StateHijacked || c.state == http.StateClosed || c.ended:
		return true
	case c.reading || c.hasUnreadData():
		return false
	}
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// hasUnreadData reports whether data has arrived that has not been read.
func (c *serverConn) hasUnreadData() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		n, errno := peek(fd)
		found = errno == 0 && n > 0
	})
	return err == nil && found
}
