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
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func startDrainingServer(t *testing.T, h http.HandlerFunc) (*Listener, *http.Server) {
	l, err := Listen(t.Context(), ListenerConfig{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h, ConnState: l.ConnState}
	t.Cleanup(func() { _ = s.Close() })
	return l, s
}

func serve(t *testing.T, s *http.Server, l *Listener) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			t.Errorf("serve: %v", err)
		}
	}()
}

func stop(t *testing.T, l *Listener, s *http.Server) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := l.Drain(ctx); err != nil {
		t.Error(err)
	}
	if err := s.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// readStatus reads a response and returns its status, 0 if there is none.
func readStatus(r *bufio.Reader) (int, error) {
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

func closing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Connection", "close")
	_, _ = io.WriteString(w, "done")
}

// TestArrivedConnectionsAreServed guards against a planned stop that resets connections
// which the kernel has completed and the server has not yet accepted.
func TestArrivedConnectionsAreServed(t *testing.T) {
	l, s := startDrainingServer(t, closing)
	const count = 50
	conns := make([]net.Conn, count)
	for i := range conns {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		conns[i] = c
	}
	serve(t, s, l)
	stop(t, l, s)
	for i, c := range conns {
		if got, err := readStatus(bufio.NewReader(c)); got != http.StatusOK {
			t.Errorf("connection %d got status %d, error %v", i, got, err)
		}
	}
}

// TestRequestBeingReadIsServed guards against a planned stop that closes a kept connection
// while its next request is being read.
func TestRequestBeingReadIsServed(t *testing.T) {
	l, s := startDrainingServer(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/last" {
			w.Header().Set("Connection", "close")
		}
	})
	serve(t, s, l)
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	_, _ = fmt.Fprint(c, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := readStatus(r); err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprint(c, "GET /last HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond) // let the server read it
	stopped := make(chan struct{})
	go func() { defer close(stopped); stop(t, l, s) }()
	time.Sleep(4 * backlogTime)
	_, _ = fmt.Fprint(c, "Host: a\r\n\r\n")
	if _, err := readStatus(r); err != nil {
		t.Errorf("the request got %v", err)
	}
	<-stopped
}

// TestIdleConnectionsDoNotHoldUpAStop guards against a stop that waits for kept connections
// without a request, or for connections that never sent one.
func TestIdleConnectionsDoNotHoldUpAStop(t *testing.T) {
	l, s := startDrainingServer(t, func(http.ResponseWriter, *http.Request) {})
	serve(t, s, l)
	for i := range 4 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if i%2 == 0 {
			_, _ = fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			if _, err := readStatus(bufio.NewReader(c)); err != nil {
				t.Fatal(err)
			}
		}
	}
	start := time.Now()
	stop(t, l, s)
	if err := l.Close(); err != nil {
		t.Errorf("closing the listener again: %v", err)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the stop took %s", took)
	}
}

// TestNoAcceptedRequestIsCutOffUnderLoad stops a server that kept connections load. Every
// request that a handler has begun must be answered completely.
func TestNoAcceptedRequestIsCutOffUnderLoad(t *testing.T) {
	var draining atomic.Bool
	var begun, answered atomic.Int64
	l, s := startDrainingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		begun.Add(1)
		if draining.Load() {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, "done")
	})
	serve(t, s, l)
	var clients sync.WaitGroup
	for range 32 {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for {
				res, err := client.Get("http://" + l.Addr().String())
				if err != nil {
					return
				}
				if body, err := io.ReadAll(res.Body); err == nil && string(body) == "done" {
					answered.Add(1)
				}
				_ = res.Body.Close()
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	draining.Store(true)
	stop(t, l, s)
	clients.Wait()
	if begun.Load() != answered.Load() {
		t.Errorf("%d requests were begun, %d answered", begun.Load(), answered.Load())
	}
}

// TestConnectionsAreLimited guards against a process that runs out of descriptors: a further
// connection replaces an idle one or gets a clear refusal, and the ones in use are served.
func TestConnectionsAreLimited(t *testing.T) {
	const limit = 8
	release := make(chan struct{})
	l, s := startDrainingServer(t, func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			<-release
		}
		_, _ = io.WriteString(w, "done")
	})
	l.MaxConns, l.Refusal = limit, "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	serve(t, s, l)
	open := func(path string) *bufio.Reader {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		return bufio.NewReader(c)
	}
	for i := range 3 * limit { // all but the last stay open and idle
		if got, err := readStatus(open("/")); got != http.StatusOK {
			t.Fatalf("connection %d got status %d, error %v, although others are idle", i, got, err)
		}
		time.Sleep(2 * time.Millisecond) // let the server note that it is idle
	}
	var busy []*bufio.Reader
	for range limit {
		busy = append(busy, open("/wait"))
	}
	time.Sleep(50 * time.Millisecond)
	if got, err := readStatus(open("/")); got != http.StatusServiceUnavailable {
		t.Errorf("a connection beyond the limit got status %d, error %v", got, err)
	}
	close(release)
	for i, r := range busy {
		if got, err := readStatus(r); got != http.StatusOK {
			t.Errorf("connection %d in use got status %d, error %v", i, got, err)
		}
	}
}

// TestHTTP2ConnectionsDoNotHoldUpAStop guards against a stop that takes the pings on an idle
// HTTP/2 connection for a request that is being read.
func TestHTTP2ConnectionsDoNotHoldUpAStop(t *testing.T) {
	l, s := startDrainingServer(t, func(http.ResponseWriter, *http.Request) {})
	s.Protocols = new(http.Protocols)
	s.Protocols.SetUnencryptedHTTP2(true)
	serve(t, s, l)
	transport := &http.Transport{Protocols: s.Protocols, HTTP2: &http.HTTP2Config{SendPingTimeout: 20 * time.Millisecond}}
	res, err := (&http.Client{Transport: transport}).Get("http://" + l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = res.Body.Close()
	time.Sleep(100 * time.Millisecond) // pings arrive
	start := time.Now()
	stop(t, l, s)
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("the stop took %s", took)
	}
}
