package soak

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"celeryshelf/internal/loopback"
)

// startEchoServer starts a server that sends back what it reads.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// startLink starts a link to an echo server and returns a function that dials it. Each test
// needs an address of its own: a link that is being closed may still accept connections for
// a moment.
func startLink(t *testing.T, host byte) (*Link, func() net.Conn) {
	t.Helper()
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = network.Release() })
	l := NewLink(netip.AddrPortFrom(network.Addr(0, host), 8080), startEchoServer(t))
	go func() { _ = l.Run(t.Context()) }()
	return l, func() net.Conn {
		for range 100 {
			if c, err := net.Dial("tcp", l.Listen.String()); err == nil {
				t.Cleanup(func() { _ = c.Close() })
				return c
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("link does not accept connections after 1 s")
		return nil
	}
}

// echoes reports whether a byte comes back within 300 ms.
func echoes(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

// TestLinkModesForwardOrBlock guards against faults that have no effect, and against modes
// that remain in force after the next one is set.
func TestLinkModesForwardOrBlock(t *testing.T) {
	l, dial := startLink(t, 9)
	for _, tt := range []struct {
		mode Mode
		want bool
	}{{Pass, true}, {Delay, true}, {OneWay, false}, {Silent, false}, {Reset, false}, {Pass, true}} {
		l.SetMode(tt.mode)
		if got := echoes(dial()); got != tt.want {
			t.Errorf("mode %s: echo received = %v, want %v", tt.mode, got, tt.want)
		}
	}
}

// TestSilencedConnectionsStaySilent guards against silencing that does not last on open
// connections or that affects new ones.
func TestSilencedConnectionsStaySilent(t *testing.T) {
	l, dial := startLink(t, 10)
	old := dial()
	if !echoes(old) {
		t.Fatal("no echo before SilenceOpenConns")
	}
	l.SilenceOpenConns()
	if echoes(old) {
		t.Error("silenced connection still forwards data")
	}
	if !echoes(dial()) {
		t.Error("connection opened after SilenceOpenConns does not forward data")
	}
}
