package tcp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"celeryshelf/internal/loopback"
)

// unreadSize is the size of a response that a small receive window does not hold, and the send
// buffer does.
const unreadSize = 36_000

// startUnreadServer starts a server that closes its connections after a response of unreadSize. The
// time for writing the response is limited, unless it is 0.
func startUnreadServer(t *testing.T, maxConns int, limit time.Duration) *Listener {
	t.Helper()
	l, err := Listen(t.Context(), ListenerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0"), MaxConns: maxConns, Refusal: refusal})
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if limit > 0 {
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(limit))
		}
		w.Header().Set("Connection", "close")
		_, _ = io.WriteString(w, strings.Repeat("y", unreadSize))
	})}
	t.Cleanup(func() { _ = s.Close() })
	serve(t, s, l)
	return l
}

// ask sends a request from a socket with a small window and does not read its response.
func ask(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	d := net.Dialer{Control: loopback.SmallWindow}
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return c
}

// awaitUnread waits until a number of connections are kept for clients that have not read their
// responses.
func awaitUnread(t *testing.T, l *Listener, want int) {
	t.Helper()
	for start := time.Now(); ; time.Sleep(time.Millisecond) {
		l.mu.Lock()
		n := l.phases[phaseFlush].Len()
		l.mu.Unlock()
		if n == want {
			return
		}
		if time.Since(start) > 5*time.Second {
			t.Fatalf("%d connections are kept for their clients, want %d", n, want)
		}
	}
}

// TestUnreadResponsesGiveWay guards against clients that read no responses and keep all others out:
// the connections that are kept for them count to the limit.
func TestUnreadResponsesGiveWay(t *testing.T) {
	const limit = 4
	l := startUnreadServer(t, limit, 0)
	for range limit {
		ask(t, l)
	}
	awaitUnread(t, l, limit)
	time.Sleep(stallTime)
	for range limit {
		if status, err := readStatus(bufio.NewReader(ask(t, l))); status != http.StatusOK || err != nil {
			t.Errorf("status %d, error %v beside clients that do not read", status, err)
		}
	}
}

// TestUnreadResponseIsDroppedInTime guards against a connection that is kept for a client beyond the
// time of its response, and against a stop that waits for longer than its context.
func TestUnreadResponseIsDroppedInTime(t *testing.T) {
	const limit = time.Second
	l := startUnreadServer(t, 0, limit)
	ask(t, l)
	awaitUnread(t, l, 1)
	short, cancel := context.WithTimeout(t.Context(), limit/4)
	defer cancel()
	if err := l.Flush(short); err == nil {
		t.Error("Flush has not waited for a response that is not read")
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*limit)
	defer cancel()
	if err := l.Flush(ctx); err != nil {
		t.Errorf("the connection is kept after the time of its response: %v", err)
	}
}

// TestFlushEndsWithItsClient guards against a stop that waits for a client that has left.
func TestFlushEndsWithItsClient(t *testing.T) {
	l := startUnreadServer(t, 0, time.Minute)
	c := ask(t, l)
	awaitUnread(t, l, 1)
	reset(c.(*net.TCPConn))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if err := l.Flush(ctx); err != nil {
		t.Error(err)
	}
}
