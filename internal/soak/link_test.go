package soak

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// startEchoServer answers what it reads.
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

// startLink starts a link to an echo on an address that no other test uses, since a link
// that has ended may still take connections for a moment, and returns how to dial it.
func startLink(t *testing.T, listen string) (*Link, func() net.Conn) {
	t.Helper()
	l := NewLink(netip.MustParseAddrPort(listen), startEchoServer(t))
	go func() { _ = l.Run(t.Context()) }()
	return l, func() net.Conn {
		for range 100 {
			if c, err := net.Dial("tcp", l.Listen.String()); err == nil {
				t.Cleanup(func() { _ = c.Close() })
				return c
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("the link does not listen")
		return nil
	}
}

// echoes reports whether a byte comes back before the connection ends or a while is over.
func echoes(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestLinkModesForwardOrBlock(t *testing.T) {
	l, dial := startLink(t, "127.105.7.9:8080")
	for _, tt := range []struct {
		mode Mode
		want bool
	}{{Pass, true}, {Delay, true}, {OneWay, false}, {Silent, false}, {Reset, false}, {Pass, true}} {
		l.SetMode(tt.mode)
		if got := echoes(dial()); got != tt.want {
			t.Errorf("%s: answered %v, want %v", tt.mode, got, tt.want)
		}
	}
}

func TestSilencedConnectionsStaySilent(t *testing.T) {
	l, dial := startLink(t, "127.105.7.10:8080")
	old := dial()
	if !echoes(old) {
		t.Fatal("no answer before")
	}
	l.SilenceOpenConns()
	if echoes(old) {
		t.Error("the old connection still works")
	}
	if !echoes(dial()) {
		t.Error("a new connection does not work")
	}
}
