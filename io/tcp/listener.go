package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
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

// Listener accepts connections for an http.Server and can drain them: unlike
// http.Server.Shutdown it cuts off no connection on which a request has arrived.
type Listener struct {
	*net.TCPListener
	mu       sync.Mutex
	draining bool
	closed   bool
	conns    map[*serverConn]struct{}
}

// Listen listens on an address.
func Listen(ctx context.Context, address netip.AddrPort) (*Listener, error) {
	l, err := newListenConfig().Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &Listener{TCPListener: l.(*net.TCPListener), conns: map[*serverConn]struct{}{}}, nil
}

// Accept returns the next connection. After Drain it returns net.ErrClosed once the
// connections that had arrived are accepted.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.AcceptTCP()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if l.draining && errors.Is(err, os.ErrDeadlineExceeded) {
			l.closed = true
			_ = l.TCPListener.Close()
			return nil, net.ErrClosed
		}
		return nil, fmt.Errorf("accept: %w", err)
	}
	c := &serverConn{Conn: newConn(raw), listener: l}
	l.conns[c] = struct{}{}
	return c, nil
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

// serverConn is an accepted connection.
type serverConn struct {
	net.Conn
	listener *Listener
	mu       sync.Mutex
	state    http.ConnState
	reading  bool // bytes of a request have been read since the last response
	ended    bool // no further request is read
}

// Read reads from the connection.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
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
		c.reading = false
	}
}

// endIfIdle ends the connection if no request is being read or has arrived. It returns false
// if one is being read that the server has not taken up: Shutdown would cut it off.
func (c *serverConn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.state == http.StateActive || c.state == http.StateHijacked || c.state == http.StateClosed || c.ended:
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
