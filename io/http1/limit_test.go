package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxAllocation is far below the memory of a node and far above what a bounded head needs.
const maxAllocation = 8 << 20

// allocated returns the number of bytes that the process has allocated so far.
func allocated() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.TotalAlloc
}

// checkAllocation fails the test if more than maxAllocation has been allocated since before.
func checkAllocation(t *testing.T, before uint64) {
	t.Helper()
	if grown := allocated() - before; grown > maxAllocation {
		t.Errorf("allocated %d bytes, want at most %d", grown, maxAllocation)
	}
}

// writeForever writes the prefix and then the unit again and again until the peer closes.
func writeForever(prefix, unit string) func(net.Conn) {
	return func(c net.Conn) {
		if !readHead(c) {
			return
		}
		_, err := c.Write([]byte(prefix))
		for block := []byte(strings.Repeat(unit, 1+(32<<10)/len(unit))); err == nil; {
			_, err = c.Write(block)
		}
	}
}

// TestEndlessHeadsAreCutOff guards against a target that sends bytes without end before its
// response is complete. The request must fail as possibly executed, the connection must be
// closed, and the memory used must not grow with the bytes.
func TestEndlessHeadsAreCutOff(t *testing.T) {
	for _, tt := range []struct{ name, prefix, unit string }{
		{"status line without end", "HTTP/1.1 200 ", "a"},
		{"no status line", "", "a"},
		{"empty lines", "", "\r\n"},
		{"header name without end", "HTTP/1.1 200 OK\r\nX", "a"},
		{"header value without end", "HTTP/1.1 200 OK\r\nX: ", "a"},
		{"header lines without end", "HTTP/1.1 200 OK\r\n", "a: b\r\n"},
		{"header lines without a colon", "HTTP/1.1 200 OK\r\n", "abc\r\n"},
		{"continuation lines without end", "HTTP/1.1 200 OK\r\nX: a\r\n", " b\r\n"},
		{"interim responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim response with a head without end", "HTTP/1.1 103 Early Hints\r\n", "Link: x\r\n"},
		{"status code 000", "HTTP/1.1 000 OK\r\n\r\n", "a"},
		{"switch of protocols", "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: a\r\n\r\n", "a"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan struct{})
			serve := writeForever(tt.prefix, tt.unit)
			at := startServer(t, func(c net.Conn) { serve(c); close(closed) })
			ctx := testContext(t)
			before := allocated()
			_, err := roundTrip(ctx, NewClient(Config{Address: at, Verifier: requestIDVerifier{}}), "a", nil)
			if err == nil || errors.Is(err, ErrNotSent) || ctx.Err() != nil {
				t.Errorf("got error %v, context error %v; want an error of a request that may have run", err, ctx.Err())
			}
			checkAllocation(t, before)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("connection is still open")
			}
		})
	}
}

// TestHeadLimitAllowsLargeHeads guards against a limit that counts the body.
func TestHeadLimitAllowsLargeHeads(t *testing.T) {
	value, body := strings.Repeat("v", DefaultMaxHeadBytes-1024), strings.Repeat("b", 1<<20)
	at := startServer(t, func(c net.Conn) {
		if readHead(c) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nX: " + value + "\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n" + body + "\r\n0\r\n\r\n"))
		}
	})
	got, err := roundTrip(testContext(t), NewClient(Config{Address: at, Verifier: requestIDVerifier{}}), "a", nil)
	if err != nil || got != body {
		t.Errorf("got a body of %d bytes, error %v", len(got), err)
	}
}

// TestEndlessBodyStopsWithItsReader guards against reading a body on after its reader has
// closed it, and against buffering it.
func TestEndlessBodyStopsWithItsReader(t *testing.T) {
	for name, prefix := range map[string]string{
		"no length":                     "\r\n",
		"chunk extension without end":   "Transfer-Encoding: chunked\r\n\r\n5;",
		"trailer without end":           "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: ",
		"bytes after a complete answer": "Content-Length: 5\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			serve := writeForever("HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"+prefix, "a")
			at := startServer(t, func(c net.Conn) { serve(c); close(closed) })
			req, err := http.NewRequestWithContext(testContext(t), http.MethodGet, "http://target/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Request-Id", "a")
			before := allocated()
			res, err := NewClient(Config{Address: at, Verifier: requestIDVerifier{}}).RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			block := make([]byte, 4<<10)
			for range 64 {
				if _, err := res.Body.Read(block); err != nil {
					break
				}
			}
			_ = res.Body.Close()
			checkAllocation(t, before)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("connection is still open")
			}
		})
	}
}

// blockingConn accepts bytes but does not return from Write before it is released.
type blockingConn struct {
	net.Conn
	writing, release chan struct{}
}

func (c *blockingConn) Write(p []byte) (int, error) {
	close(c.writing)
	<-c.release
	return len(p), nil
}

// TestWriteInProgressCountsAsSent guards against reporting a request as not sent while its
// first write is in progress: the target may already have read it.
func TestWriteInProgressCountsAsSent(t *testing.T) {
	raw := &blockingConn{writing: make(chan struct{}), release: make(chan struct{})}
	c := &connection{Conn: raw}
	ctx, cancel := context.WithCancel(t.Context())
	go func() { defer cancel(); _, _ = c.Write([]byte("GET /")) }()
	<-raw.writing
	if !c.bytesWritten.Load() {
		t.Error("bytesWritten is false during a write")
	}
	close(raw.release)
	<-ctx.Done()
}
