package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// dialPeer returns a connection of a Dialer and the other end of it.
func dialPeer(t *testing.T) (net.Conn, *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := NewDialer().DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return c, peer.(*net.TCPConn)
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// TestResetIsNotTheEndOfTheStream guards against bytes that look complete although the connection
// was reset before their end (review/6): the kernel reports a reset once, and a write may get it.
func TestResetIsNotTheEndOfTheStream(t *testing.T) {
	for _, tt := range []struct {
		name  string
		end   func(c *net.TCPConn)
		write error // of the first write that fails
		want  error
	}{
		{"reset before the end", reset, syscall.ECONNRESET, syscall.ECONNRESET},
		{"reset after the end", func(c *net.TCPConn) { _ = c.CloseWrite(); reset(c) }, syscall.EPIPE, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, peer := dialPeer(t)
			if _, err := peer.Write([]byte("part")); err != nil {
				t.Fatal(err)
			}
			tt.end(peer)
			for ctx := WithConn(context.Background(), c); !PeerClosed(ctx); {
				time.Sleep(time.Millisecond)
			}
			if _, err := c.Write([]byte("x")); !errors.Is(err, tt.write) {
				t.Fatalf("write got error %v, want %v", err, tt.write)
			}
			if got, err := io.ReadAll(c); string(got) != "part" || !errors.Is(err, tt.want) {
				t.Errorf("read %q with error %v, want %q with %v", got, err, "part", tt.want)
			}
		})
	}
}

// TestResetDuringWritesIsNotTheEndOfTheStream is the same failure with a write in progress when
// the reset arrives. Whether the write or the read gets it depends on the scheduler.
func TestResetDuringWritesIsNotTheEndOfTheStream(t *testing.T) {
	block := []byte(strings.Repeat("b", 1<<20))
	for range 50 {
		c, peer := dialPeer(t)
		var writer sync.WaitGroup
		writer.Go(func() {
			for err := error(nil); err == nil; {
				_, err = c.Write(block)
			}
		})
		if _, err := peer.Write([]byte("part")); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(5*time.Millisecond, func() { reset(peer) })
		if got, err := io.ReadAll(c); err == nil {
			t.Errorf("read %q up to an end that the peer has not sent", got)
		}
		writer.Wait()
	}
}
