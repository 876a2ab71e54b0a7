package tcp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"
)

const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// dialFrom connects to a listener from a loopback address.
func dialFrom(t *testing.T, l *Listener, from string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// TestAcceptGoesOnAfterTransientErrors guards against a server that ends because a connection
// could not be accepted, for example with too many open files.
func TestAcceptGoesOnAfterTransientErrors(t *testing.T) {
	l, s := startDrainingServer(t, closing)
	failures := []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, errors.New("unknown")}
	accept := l.accept
	l.accept = func() (*net.TCPConn, error) {
		if len(failures) > 0 {
			err := &net.OpError{Op: "accept", Net: "tcp", Err: failures[0]}
			failures = failures[1:]
			return nil, err
		}
		return accept()
	}
	serve(t, s, l)
	c := dialFrom(t, l, "127.0.0.1")
	_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if got, err := readStatus(bufio.NewReader(c)); got != http.StatusOK {
		t.Errorf("after transient errors: status %d, error %v", got, err)
	}
}

// TestOneAddressLeavesRoomForOthers guards against a client address that holds all connections
// with requests in progress, so that the clients of other addresses are refused.
func TestOneAddressLeavesRoomForOthers(t *testing.T) {
	const limit = 16
	release := make(chan struct{})
	l, s := startDrainingServer(t, func(_ http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			<-release
		}
	})
	defer close(release)
	l.MaxConns, l.Refusal = limit, refusal
	serve(t, s, l)
	send := func(from, path string) *bufio.Reader {
		c := dialFrom(t, l, from)
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		return bufio.NewReader(c)
	}
	send("127.0.0.3", "/")
	for range 2 * limit {
		send("127.0.0.2", "/wait")
	}
	for i := range 3 {
		if got, err := readStatus(send("127.0.0.3", "/")); got != http.StatusOK {
			t.Errorf("request %d of another address: status %d, error %v", i, got, err)
		}
	}
}

// TestIncompleteRequestsGiveWay guards against connections without a complete request, in a head
// or a body, that keep the requests of others from being accepted.
func TestIncompleteRequestsGiveWay(t *testing.T) {
	const limit = 8
	for _, start := range []string{"", "GET / HTTP/1.1\r\nHost: a\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1"} {
		l, s := startDrainingServer(t, func(_ http.ResponseWriter, req *http.Request) { _, _ = io.Copy(io.Discard, req.Body) })
		l.MaxConns, l.Refusal = limit, refusal
		serve(t, s, l)
		for range limit {
			_, _ = io.WriteString(dialFrom(t, l, "127.0.0.1"), start)
		}
		time.Sleep(stallTime + 200*time.Millisecond) // the bodies count as stalled
		for i := range limit {
			c := dialFrom(t, l, "127.0.0.1")
			_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			if got, err := readStatus(bufio.NewReader(c)); got != http.StatusOK {
				t.Errorf("request %d beside clients that sent %q: status %d, error %v", i, start, got, err)
			}
		}
	}
}

// TestHeadsAreLimited guards against request heads whose memory exceeds the limit of the
// listener, on one connection and on several, and against heads without end.
func TestHeadsAreLimited(t *testing.T) {
	l, err := Listen(t.Context(), ListenerConfig{
		Address: netip.MustParseAddrPort("127.0.0.1:0"), MaxHeadBytes: 256 << 10, Refusal: refusal,
		Limits: func() Limits { return Limits{HeaderBytes: 1 << 10, HeaderTimeout: 200 * time.Millisecond} },
	})
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(closing), ConnState: l.ConnState, ReadHeaderTimeout: time.Minute}
	t.Cleanup(func() { _ = s.Close() })
	serve(t, s, l)
	for _, tt := range []struct {
		name, head string
		want       int
	}{
		{"headers within the limit", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 150) + "\r\n", http.StatusOK},
		{"one long line", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("a", 8<<10), http.StatusRequestHeaderFieldsTooLarge},
		{"many short lines", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\n", 400), http.StatusRequestHeaderFieldsTooLarge},
		{"incomplete headers", "GET / HTTP/1.1\r\nHost: a\r\n", http.StatusRequestTimeout},
	} {
		c := dialFrom(t, l, "127.0.0.1")
		_, _ = io.WriteString(c, tt.head)
		if got, err := readStatus(bufio.NewReader(c)); got != tt.want {
			t.Errorf("%s: status %d, error %v, want %d", tt.name, got, err, tt.want)
		}
	}
	for range 50 {
		_, _ = io.WriteString(dialFrom(t, l, "127.0.0.1"), "GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\n", 300))
		l.mu.Lock()
		held := l.headHeld
		l.mu.Unlock()
		if held > l.MaxHeadBytes {
			t.Fatalf("the heads of all connections hold %d bytes, the limit is %d", held, l.MaxHeadBytes)
		}
	}
}

// TestAccountsEndAtZero guards against connections and heads that stay in the accounts of a
// listener after they are closed, which would refuse all others in the end.
func TestAccountsEndAtZero(t *testing.T) {
	l, s := startDrainingServer(t, func(_ http.ResponseWriter, req *http.Request) { _, _ = io.Copy(io.Discard, req.Body) })
	l.MaxConns, l.MaxHeadBytes, l.Refusal = 4, 1<<20, refusal
	serve(t, s, l)
	for i := range 40 {
		c := dialFrom(t, l, "127.0.0.1")
		switch text := "GET / HTTP/1.1\r\nHost: a\r\n\r\n"; i % 4 {
		case 0:
			_, _ = io.WriteString(c, text+text+text)
			_, _ = readStatus(bufio.NewReader(c))
		case 1:
			_, _ = io.WriteString(c, text[:i%len(text)])
		case 2:
			_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n12")
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		l.mu.Lock()
		conns, sources, held := len(l.conns), len(l.sources.counts), l.headHeld
		l.mu.Unlock()
		if conns == 0 && sources == 0 && held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d connections of %d addresses and %d bytes of heads are left", len(l.conns), len(l.sources.counts), l.headHeld)
}

// TestCompleteRequestsAreNotEvicted guards against a request that is refused as not executed and
// executed all the same, because its connection was evicted after its head was read and before
// the server took it up.
func TestCompleteRequestsAreNotEvicted(t *testing.T) {
	const limit = 8
	l, s := startDrainingServer(t, closing)
	l.MaxConns, l.Refusal = limit, refusal
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive {
			time.Sleep(4 * minHeadAge)
		}
		l.ConnState(c, state)
	}
	serve(t, s, l)
	request := func() *bufio.Reader {
		c := dialFrom(t, l, "127.0.0.1")
		_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		return bufio.NewReader(c)
	}
	var complete []*bufio.Reader
	for range limit {
		complete = append(complete, request())
	}
	time.Sleep(2 * minHeadAge)
	if got, err := readStatus(request()); got != http.StatusServiceUnavailable {
		t.Errorf("a connection beyond the limit: status %d, error %v", got, err)
	}
	for i, r := range complete {
		if got, err := readStatus(r); got != http.StatusOK {
			t.Errorf("complete request %d: status %d, error %v", i, got, err)
		}
	}
}
