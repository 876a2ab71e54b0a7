package tcp

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// TestPeerClosedSeesAnEndBehindUnreadBytes guards against a connection that counts as open although
// its peer has closed it, because bytes that it sent before have not been read (review/5), and
// against one that counts as closed while its peer only sends nothing.
func TestPeerClosedSeesAnEndBehindUnreadBytes(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(c *net.TCPConn) error
		want bool
	}{
		{"open", func(*net.TCPConn) error { return nil }, false},
		{"closed", func(c *net.TCPConn) error { return c.Close() }, true},
		{"reset", func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, err := Listen(t.Context(), ListenerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			peer, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = peer.Close() }()
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := peer.Write([]byte("unread")); err != nil {
				t.Fatal(err)
			}
			if err := tt.end(peer.(*net.TCPConn)); err != nil {
				t.Fatal(err)
			}
			ctx := WithConn(t.Context(), c)
			for start := time.Now(); !PeerClosed(ctx) && time.Since(start) < 100*time.Millisecond; {
				time.Sleep(time.Millisecond)
			}
			if got := PeerClosed(ctx); got != tt.want {
				t.Errorf("PeerClosed is %t, want %t", got, tt.want)
			}
		})
	}
}
