package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode is how a link treats the connections through it.
type Mode uint8

// Modes of a link.
const (
	Pass   Mode = iota
	Delay       // each read of up to linkBufferBytes is delayed by linkDelay
	Reset       // connections are reset as soon as they carry data
	OneWay      // data from Upstream to the client is held back
	Silent      // data in both directions is held back
)

func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "one-way", "silent"}[m]
}

const (
	linkDelay       = 100 * time.Millisecond
	linkBufferBytes = 16 << 10
	linkDialTimeout = 1 * time.Second
)

// Link is a TCP proxy in front of one address that can inject network faults.
type Link struct {
	Listen, Upstream netip.AddrPort

	mu           sync.Mutex
	mode         Mode
	silencedUpTo int           // connections numbered up to this one are silent for good
	connCount    int           // connections so far; the latest one's number
	changed      chan struct{} // closed and replaced when mode or silencedUpTo changes
}

// NewLink returns a link in mode Pass.
func NewLink(listen, target netip.AddrPort) *Link {
	return &Link{Listen: listen, Upstream: target, changed: make(chan struct{})}
}

// SetMode changes the mode, also for open connections. Data that Silent or OneWay held back
// is forwarded once the mode allows it.
func (l *Link) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	l.notifyChanged()
}

// SilenceOpenConns makes the open connections silent for good. New connections work.
func (l *Link) SilenceOpenConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silencedUpTo = l.connCount
	l.notifyChanged()
}

// notifyChanged wakes the connections that wait in awaitForward. The caller holds l.mu.
func (l *Link) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Run forwards connections until the context ends.
func (l *Link) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", l.Listen.String())
	if err != nil {
		return fmt.Errorf("listen for link: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on link: %w", err)
		}
		go l.forward(ctx, conn)
	}
}

// forward connects a client's connection to Upstream and copies data until both ends are
// closed.
func (l *Link) forward(ctx context.Context, downstream net.Conn) {
	dialer := net.Dialer{Timeout: linkDialTimeout}
	upstream, err := dialer.DialContext(ctx, "tcp", l.Upstream.String())
	if err != nil {
		reset(downstream)
		return
	}
	l.mu.Lock()
	l.connCount++
	conn := l.connCount
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	context.AfterFunc(ctx, func() {
		_ = downstream.Close()
		_ = upstream.Close()
	})
	go l.copy(ctx, cancel, conn, upstream, downstream, false)
	l.copy(ctx, cancel, conn, downstream, upstream, true)
}

// copy forwards the data of one direction. It passes the end of the request direction on as a
// half-close; the end of the response direction and errors close both directions.
func (l *Link) copy(ctx context.Context, cancel context.CancelFunc, conn int, to, from net.Conn, response bool) {
	buf := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buf)
		if n > 0 && !l.awaitForward(ctx, conn, response) {
			reset(to)
			reset(from)
			cancel()
			return
		}
		if _, werr := to.Write(buf[:n]); werr != nil {
			cancel()
			return
		}
		if errors.Is(err, io.EOF) {
			if half, ok := to.(*net.TCPConn); ok && half.CloseWrite() == nil && !response {
				return
			}
		}
		if err != nil {
			cancel()
			return
		}
	}
}

// awaitForward blocks until data may be forwarded. It returns false if the connection is to
// be reset or the context ends.
func (l *Link) awaitForward(ctx context.Context, conn int, response bool) bool {
	for {
		l.mu.Lock()
		mode, silenced, changed := l.mode, conn <= l.silencedUpTo, l.changed
		l.mu.Unlock()
		switch {
		case silenced, mode == Silent, mode == OneWay && response:
			select {
			case <-changed:
			case <-ctx.Done():
				return false
			}
		case mode == Reset:
			return false
		case mode == Delay:
			time.Sleep(linkDelay)
			return true
		default:
			return true
		}
	}
}

// reset closes a connection with a TCP RST: with a linger time of 0, Close discards unsent
// data and resets the connection.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
