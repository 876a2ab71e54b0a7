package tcp

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// backlogTime is how long a draining listener still accepts connections. It is enough to
	// accept those that the kernel has completed, whose requests may have arrived.
	backlogTime = 50 * time.Millisecond
	// settleInterval is the interval at which Drain checks connections that are being read.
	settleInterval = 5 * time.Millisecond
)

// ListenerConfig holds the parameters of a Listener.
type ListenerConfig struct {
	Address netip.AddrPort
	// MaxConns limits the open connections, 0 for no limit. A further connection replaces
	// the one that has been idle the longest, or is refused.
	MaxConns int
	// Refusal is the HTTP response on a connection that is refused.
	Refusal string
}

// Listener accepts connections for an http.Server and can drain them: unlike
// http.Server.Shutdown it cuts off no connection on which a request has arrived.
type Listener struct {
	*net.TCPListener
	ListenerConfig
	refusing atomic.Int32
	mu       sync.Mutex
	draining bool
	closed   bool
	conns    map[*serverConn]struct{}
}

// Listen listens on an address.
func Listen(ctx context.Context, c ListenerConfig) (*Listener, error) {
	l, err := newListenConfig().Listen(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", c.Address, err)
	}
	return &Listener{TCPListener: l.(*net.TCPListener), ListenerConfig: c, conns: map[*serverConn]struct{}{}}, nil
}

// Accept returns the next connection. After Drain it returns net.ErrClosed once the
// connections that had arrived are accepted.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.AcceptTCP()
		if err != nil {
			return nil, l.acceptError(err)
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		l.refuse(raw)
	}
}

func (l *Listener) acceptError(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining && errors.Is(err, os.ErrDeadlineExceeded) {
		l.closed = true
		_ = l.TCPListener.Close()
		return net.ErrClosed
	}
	return fmt.Errorf("accept: %w", err)
}

// admit adds a connection, or returns nil if the limit is reached and no connection is idle.
func (l *Listener) admit(raw *net.TCPConn) *serverConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.MaxConns > 0 && len(l.conns) >= l.MaxConns && !l.endLongestIdle() {
		return nil
	}
	c := &serverConn{Conn: newConn(raw), listener: l}
	l.conns[c] = struct{}{}
	return c
}

// endLongestIdle ends the connection that has been idle the longest and reports whether
// there was one.
func (l *Listener) endLongestIdle() bool {
	var longest *serverConn
	var since time.Time
	for c := range l.conns {
		if at, idle := c.idleSince(); idle && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	if longest == nil || !longest.endIfIdle() {
		return false
	}
	delete(l.conns, longest)
	return true
}

const (
	// maxRefusing limits the connections that are being refused; further ones are closed.
	maxRefusing = 32
	refuseTime  = 500 * time.Millisecond
	// maxRefusedBytes is how much of a refused request is read before the response. Closing
	// a connection with unread bytes would discard the response.
	maxRefusedBytes = 64 << 10
)

// refuse answers the first request on a connection with the Refusal and closes it.
func (l *Listener) refuse(c *net.TCPConn) {
	if l.Refusal == "" || l.refusing.Add(1) > maxRefusing {
		l.refusing.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer func() {
			_ = c.Close()
			l.refusing.Add(-1)
		}()
		if c.SetDeadline(time.Now().Add(refuseTime)) != nil {
			return
		}
		head := bufio.NewReader(io.LimitReader(c, maxRefusedBytes))
		for line := "-"; strings.TrimSpace(line) != ""; {
			var err error
			if line, err = head.ReadString('\n'); err != nil {
				return
			}
		}
		if _, err := io.WriteString(c, l.Refusal); err != nil {
			return
		}
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxRefusedBytes)) // until the peer closes
	}()
}

// Close closes the listener. It may be called more than once: a server also closes the
// listener that Drain has closed.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return l.TCPListener.Close()
}

// ConnState records the state of a connection. It must be the ConnState function of the
// server, whose connections Drain otherwise takes for idle.
func (l *Listener) ConnState(c net.Conn, s http.ConnState) {
	if c, ok := c.(*serverConn); ok {
		c.setState(s)
	}
}

// Drain accepts the connections that have arrived and no others, ends the idle ones, and
// waits until the server has taken up the requests that are being read, or the context is
// done. The server's Shutdown then waits for their responses.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	err := l.SetDeadline(time.Now().Add(backlogTime))
	l.mu.Unlock()
	if err != nil {
		return fmt.Errorf("drain listener: %w", err)
	}
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for start := time.Now(); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("drain listener: %w", ctx.Err())
		}
		if time.Since(start) > backlogTime && l.endIdle() == 0 {
			return nil
		}
	}
}

// endIdle ends the idle connections and returns the number of those on which a request is
// being read that the server has not taken up.
func (l *Listener) endIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := 0
	for c := range l.conns {
		if !c.endIfIdle() {
			pending++
		}
	}
	return pending
}

// http2Preface is the beginning of an HTTP/2 connection.
var http2Preface = []byte("PRI")

// serverConn is an accepted connection.
type serverConn struct {
	net.Conn
	listener *Listener
	mu       sync.Mutex
	state    http.ConnState
	reading  bool // bytes of a request have been read since the last response
	ended    bool // no further request is read
	started  bool // bytes have been read
	// http2 is set if the connection carries HTTP/2, on which pings and other frames arrive
	// also when it is idle. The server ends it without cutting off a request.
	http2  bool
	idleAt time.Time // when the last response was complete
}

// idleSince returns when the connection became idle; idle is false while it is not.
func (c *serverConn) idleSince() (at time.Time, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleAt, c.state == http.StateIdle && !c.reading && !c.ended
}

// Read reads from the connection.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if !c.started {
			c.started, c.http2 = true, bytes.HasPrefix(p[:n], http2Preface)
		}
		c.reading = true
		if c.ended { // the request had arrived before
			c.ended = false
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
		c.mu.Unlock()
	}
	return n, err
}

// SetReadDeadline sets the read deadline, unless the connection has been ended.
func (c *serverConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines, the one for reading unless the connection has been ended.
func (c *serverConn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// Close closes the connection.
func (c *serverConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

func (c *serverConn) setState(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	if s == http.StateIdle {
		c.reading, c.idleAt = false, time.Now()
	}
}

// endIfIdle ends the connection if no request is being read or has arrived. It returns false
// if one is being read that the server has not taken up: Shutdown would cut it off.
func (c *serverConn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.http2 || c.state == http.StateActive || c.state == http.StateHijacked || c.state == http.StateClosed || c.ended:
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
