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

// Mode is what a link does to the connections through it.
type Mode uint8

// Modes of a link.
const (
	Pass   Mode = iota
	Delay       // each piece takes linkDelay longer
	Reset       // connections are reset as soon as they carry anything
	OneWay      // what the listener's peer is sent does not arrive
	Silent      // nothing arrives either way
)

func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "one-way", "silent"}[m]
}

const (
	linkDelay       = 100 * time.Millisecond
	linkBufferBytes = 16 << 10
	linkDialTimeout = 1 * time.Second
)

// Link forwards TCP connections to one address and can do harm to them.
type Link struct {
	Listen, Upstream netip.AddrPort

	mu           sync.Mutex
	mode         Mode
	silencedUpTo int           // connections up to this number are silent for good
	connCount    int           // of connections so far
	changed      chan struct{} // closed when mode or muted changes
}

// NewLink returns a link that passes everything.
func NewLink(listen, target netip.AddrPort) *Link {
	return &Link{Listen: listen, Upstream: target, changed: make(chan struct{})}
}

// SetMode changes what the link does.
func (l *Link) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	l.notifyChanged()
}

// SilenceOpenConns makes the connections that are open now silent for good; new ones work.
func (l *Link) SilenceOpenConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silencedUpTo = l.connCount
	l.notifyChanged()
}

func (l *Link) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Run forwards connections until the context ends.
func (l *Link) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", l.Listen.String())
	if err != nil {
		return fmt.Errorf("listen for a link: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept on a link: %w", err)
		}
		go l.forward(ctx, conn)
	}
}

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

// copy moves one direction's bytes. An end of the stream is passed on as such, and
// everything else ends both directions.
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

// awaitForward waits until a piece may pass and reports whether its connection goes on.
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

// reset closes a connection so that its other end sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
