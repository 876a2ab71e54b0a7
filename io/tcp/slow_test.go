package tcp

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"strconv"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"celeryshelf/internal/loopback"
)

// silenceBound is the time within which a peer that has become silent must be found.
const silenceBound = 2 * time.Second

// ends returns the two ends of a connection: that of this package, and that of its peer, whose
// receive window is small.
func ends(t *testing.T, accepted bool) (net.Conn, *net.TCPConn) {
	t.Helper()
	var near, far net.Conn
	if accepted {
		l, err := Listen(t.Context(), ListenerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		d := net.Dialer{Control: loopback.SmallWindow}
		if far, err = d.DialContext(t.Context(), "tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if near, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
	} else {
		lc := net.ListenConfig{Control: loopback.SmallWindow}
		l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }()
		if near, err = NewDialer().DialContext(t.Context(), "tcp", l.Addr().String()); err != nil {
			t.Fatal(err)
		}
		if far, err = l.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	for _, c := range []net.Conn{near, far} {
		if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
			t.Fatal(err)
		}
	}
	return near, far.(*net.TCPConn)
}

// TestSlowReaderGetsTheRest guards against a connection that is reset because its peer pauses in
// reading, although the peer is alive and acknowledges the kernel's window probes (review/10).
func TestSlowReaderGetsTheRest(t *testing.T) {
	const pause = 4 * time.Second // several times the limit on unacknowledged data
	for _, tt := range []struct {
		name     string
		accepted bool
		size     int
		closed   bool // as soon as the bytes are written
	}{
		{"accepted, bytes in the kernel", true, 36_000, false},
		{"accepted, closed with bytes in the kernel", true, 36_000, true},
		{"accepted, write in progress", true, 16 << 20, false},
		{"dialled, bytes in the kernel", false, 36_000, false},
		{"dialled, write in progress", false, 16 << 20, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			near, far := ends(t, tt.accepted)
			written := make(chan error, 1)
			go func() {
				_, err := near.Write(bytes.Repeat([]byte("y"), tt.size))
				if tt.closed {
					_ = near.Close()
				}
				written <- err
			}()
			first, err := io.CopyN(io.Discard, far, 2000)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(pause)
			rest, err := io.CopyN(io.Discard, far, int64(tt.size)-first)
			if err != nil {
				t.Errorf("after a pause of %s the peer got %d of %d bytes: %v", pause, first+rest, tt.size, err)
			}
			if err := <-written; err != nil {
				t.Errorf("write: %v", err)
			}
		})
	}
}

// isOpen reports whether a connection on which the peer sends nothing has not ended.
func isOpen(c net.Conn) bool {
	if s, ok := c.(*serverConn); ok {
		c = s.Conn
	}
	return Quiet(c)
}

// silence makes a peer drop all that arrives, as a host without power or behind a partition does.
func silence(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]})
	}); ctlErr != nil || err != nil {
		t.Fatal(errors.Join(ctlErr, err))
	}
}

// TestSilentPeerIsFound guards against a connection that stays open although its peer has become
// silent, also if the peer had paused in reading before: the kernel probes a closed window less
// and less often.
func TestSilentPeerIsFound(t *testing.T) {
	for _, tt := range []struct {
		name     string
		accepted bool
		size     int           // bytes written before the peer becomes silent, and not read by it
		pause    time.Duration // from then until the peer becomes silent
	}{
		{"accepted, nothing written before", true, 0, 0},
		{"dialled, nothing written before", false, 0, 0},
		{"accepted, window just closed", true, 36_000, 100 * time.Millisecond},
		{"accepted, window closed for long", true, 36_000, 5 * time.Second},
		{"accepted, write in progress", true, 16 << 20, 5 * time.Second},
		{"dialled, window closed for long", false, 36_000, 5 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			near, far := ends(t, tt.accepted)
			go func() { _, _ = near.Write(bytes.Repeat([]byte("y"), tt.size)) }()
			time.Sleep(tt.pause)
			if !isOpen(near) {
				t.Fatal("the connection has ended before its peer became silent")
			}
			silence(t, far)
			start := time.Now()
			if tt.size == 0 {
				if _, err := near.Write([]byte("y")); err != nil {
					t.Fatal(err)
				}
			}
			_, err := near.Read(make([]byte, 1))
			if took := time.Since(start); took > silenceBound {
				t.Errorf("read ended %s after the peer became silent, want at most %s", took, silenceBound)
			}
			if !errors.Is(err, syscall.ETIMEDOUT) {
				t.Errorf("read got error %v, want %v", err, syscall.ETIMEDOUT)
			}
		})
	}
}

// listen undoes silence.
func listen(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	}); ctlErr != nil || err != nil {
		t.Fatal(errors.Join(ctlErr, err))
	}
}

// TestLostProbeEndsNoConnection guards against a peer that reads slowly and is taken for silent
// because one window probe is lost.
func TestLostProbeEndsNoConnection(t *testing.T) {
	const (
		conns, rounds = 8, 3
		loss          = 400 * time.Millisecond // less than the time between two probes
		calm          = 2 * time.Second
	)
	for i := range conns {
		t.Run(strconv.Itoa(i), func(t *testing.T) {
			t.Parallel()
			near, far := ends(t, true)
			if _, err := near.Write(bytes.Repeat([]byte("y"), 36_000)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(calm + time.Duration(i)*loss/conns)
			for range rounds {
				silence(t, far)
				time.Sleep(loss)
				listen(t, far)
				time.Sleep(calm)
				if !isOpen(near) {
					t.Fatal("the connection has ended")
				}
			}
		})
	}
}

// TestRaisedLimitIsRestored guards against a connection on which a silent peer is found late
// because its peer has paused in reading once.
func TestRaisedLimitIsRestored(t *testing.T) {
	near, far := ends(t, true)
	const size = 36_000
	if _, err := near.Write(bytes.Repeat([]byte("y"), size)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second)
	if _, err := io.CopyN(io.Discard, far, size); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	silence(t, far)
	start := time.Now()
	if _, err := near.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	if _, err := near.Read(make([]byte, 1)); !errors.Is(err, syscall.ETIMEDOUT) {
		t.Errorf("read got error %v, want %v", err, syscall.ETIMEDOUT)
	}
	if took := time.Since(start); took > silenceBound {
		t.Errorf("read ended %s after the peer became silent, want at most %s", took, silenceBound)
	}
}
