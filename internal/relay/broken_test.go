package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celeryshelf/internal/standin"
)

// startRawTarget starts a target that responds to each request with bytes of its own.
func startRawTarget(t *testing.T, respond func(c *net.TCPConn)) netip.AddrPort {
	at, err := standin.StartRaw(t.Context(), func(c *net.TCPConn, _ *http.Request) { respond(c) })
	if err != nil {
		t.Fatal(err)
	}
	return at
}

// TestEarlyResponseWithoutLengthIsCompleteOnlyAtItsEnd guards against a part of a response that
// reaches the caller as a whole one (review/6), and against a whole one that does not. The target
// responds to a long upload without a length and ends the connection while the upload is being
// written. Of several uploads whose connection is reset, most show the failure.
func TestEarlyResponseWithoutLengthIsCompleteOnlyAtItsEnd(t *testing.T) {
	const (
		uploads      = 8
		responseSize = 12_000
		pause        = 300 * time.Millisecond // the upload fills all buffers
	)
	for _, tt := range []struct {
		name     string
		end      func(c *net.TCPConn)
		complete bool
	}{
		{"reset", func(c *net.TCPConn) { _ = c.SetLinger(0) }, false},
		{"closed with unread bytes", func(*net.TCPConn) {}, false}, // the kernel resets it
		{"ended, the upload read", func(c *net.TCPConn) { _ = c.CloseWrite(); _, _ = io.Copy(io.Discard, c) }, true},
		{"ended, then reset", func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(pause); _ = c.SetLinger(0) }, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			target := startRawTarget(t, func(c *net.TCPConn) {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", strings.Repeat("r", responseSize))
				time.Sleep(pause)
				tt.end(c)
			})
			front, _ := startNodes(t, target, uploads)
			var clients sync.WaitGroup
			for range uploads {
				c := dial(t, front.caller)
				upload{body: pattern(8_000_000)}.start(c)
				clients.Go(func() {
					status, got, err := readResponse(c)
					if complete := err == nil && status == http.StatusOK && got == responseSize; complete != tt.complete {
						t.Errorf("got status %d and %d bytes with error %v, want a complete response: %t", status, got, err, tt.complete)
					}
				})
			}
			clients.Wait()
		})
	}
}

// readResponse reads a response and returns its status and the size of its body. It returns an
// error if the response is incomplete.
func readResponse(c net.Conn) (status int, size int64, err error) {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	size, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, size, err
}

// get sends a request without a body to a node and reads the response.
func get(t *testing.T, n *testNode) (status int, size int64, err error) {
	c := dial(t, n.caller)
	if _, err := io.WriteString(c, "GET /order HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	return readResponse(c)
}

// brokenHeads are heads of responses that no caller may get as an answer. Each is followed by the
// body "whole body", after which the target closes the connection.
var brokenHeads = []struct{ name, head string }{
	{"status 000", "HTTP/1.1 000 OK\r\nContent-Length: 10\r\n\r\n"},
	{"status 099", "HTTP/1.1 099 OK\r\nContent-Length: 10\r\n\r\n"},
	{"status 600", "HTTP/1.1 600 OK\r\nContent-Length: 10\r\n\r\n"},
	{"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 10\r\n\r\n"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\nContent-Length: 10\r\n\r\n"},
	{"version 2.0", "HTTP/2.0 200 OK\r\nContent-Length: 10\r\n\r\n"},
	{"version 0.9", "HTTP/0.9 200 OK\r\nContent-Length: 10\r\n\r\n"},
	{"version without digits", "HTTP/a.b 200 OK\r\nContent-Length: 10\r\n\r\n"},
	{"no version", "200 OK\r\nContent-Length: 10\r\n\r\n"},
	{"space before the status line", " HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"unknown encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"},
	{"space in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 10\r\n\r\n"},
	{"space before the colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\n"},
	{"space before the colon of the encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"},
	{"space before the first name", "HTTP/1.1 200 OK\r\n X: z\r\nContent-Length: 10\r\n\r\n"},
	{"space before a name", "HTTP/1.1 200 OK\r\nX: y\r\n Content-Length: 4\r\n\r\n"},
	{"tab before a name", "HTTP/1.1 200 OK\r\nX: y\r\n\tContent-Length: 4\r\n\r\n"},
	{"space before a name in an interim response", "HTTP/1.1 103 Early Hints\r\nX: y\r\n Z: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"},
	{"space before a name in a long head", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 10_000) + "\r\n Content-Length: 4\r\n\r\n"},
	{"tab before the colon", "HTTP/1.1 200 OK\r\nX\t: y\r\nContent-Length: 10\r\n\r\n"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01Y: z\r\nContent-Length: 10\r\n\r\n"},
	{"NUL in a name", "HTTP/1.1 200 OK\r\nContent-Length\x00: 4\r\n\r\n"},
	{"DEL in a name", "HTTP/1.1 200 OK\r\nX\x7f: z\r\nContent-Length: 10\r\n\r\n"},
	{"carriage return in a name", "HTTP/1.1 200 OK\r\nX\rY: z\r\nContent-Length: 10\r\n\r\n"},
	{"byte over 127 in a name", "HTTP/1.1 200 OK\r\nX\xe9: z\r\nContent-Length: 10\r\n\r\n"},
	{"no name", "HTTP/1.1 200 OK\r\n: z\r\nContent-Length: 10\r\n\r\n"},
	{"no colon", "HTTP/1.1 200 OK\r\nX\r\nContent-Length: 10\r\n\r\n"},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nX: y\x01z\r\nContent-Length: 10\r\n\r\n"},
	{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 10\r\n\r\n"},
	{"length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +10\r\n\r\n"},
	{"interim response with a space in a name", "HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"},
}

// TestBrokenHeadsAreNoResponses guards against a malformed response that reaches the caller, also
// with a line left out or with a body that is not the target's.
func TestBrokenHeadsAreNoResponses(t *testing.T) {
	for _, tt := range brokenHeads {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			target := startRawTarget(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, tt.head+"whole body") })
			front, back := startNodes(t, target, 8)
			for _, entry := range []*testNode{front, back} {
				if status, size, err := get(t, entry); err != nil || status != http.StatusBadGateway {
					t.Errorf("got status %d and %d bytes with error %v, want status %d", status, size, err, http.StatusBadGateway)
				}
			}
		})
	}
}

// TestCutHeadsAreNoResponses guards against a head that ends in the middle and reaches the caller
// as a response with an empty or a short body. The target closes or resets the connection.
func TestCutHeadsAreNoResponses(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%q, reset %t", head, reset), func(t *testing.T) {
				t.Parallel()
				var size atomic.Int64
				target := startRawTarget(t, func(c *net.TCPConn) {
					_, _ = io.WriteString(c, head[:size.Load()])
					if reset {
						_ = c.SetLinger(0)
					}
				})
				_, back := startNodes(t, target, 8)
				for i := range len(head) {
					size.Store(int64(i))
					if status, size, err := get(t, back); err != nil || status != http.StatusBadGateway {
						t.Errorf("head cut after %q: got status %d and %d bytes with error %v, want status %d", head[:i], status, size, err, http.StatusBadGateway)
					}
				}
			})
		}
	}
}

// TestCutResponseToHTTP10LooksIncomplete guards against a part of a response that reaches a caller
// of HTTP/1.0 as a whole one: over HTTP/1.0 a response of unknown length ends with its connection.
func TestCutResponseToHTTP10LooksIncomplete(t *testing.T) {
	for _, tt := range []struct {
		name, text string
		complete   bool
	}{
		{"chunks", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", true},
		{"chunks, cut", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false},
		{"length", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\npart", true},
		{"length, cut", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 100000\r\n\r\npart", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			target := startRawTarget(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, tt.text)
				time.Sleep(50 * time.Millisecond) // the first part reaches the caller
			})
			front, back := startNodes(t, target, 8)
			for _, entry := range []*testNode{front, back} {
				c := dial(t, entry.caller)
				if _, err := io.WriteString(c, "GET /order HTTP/1.0\r\nHost: a\r\n\r\n"); err != nil {
					t.Fatal(err)
				}
				status, size, err := readResponse(c)
				if complete := err == nil && status == http.StatusOK; complete != tt.complete {
					t.Errorf("got status %d and %d bytes with error %v, want a complete response: %t", status, size, err, tt.complete)
				}
			}
		})
	}
}

// TestInvalidTrailersAreNotPassedOn guards against a malformed line after a body that reaches the
// caller.
func TestInvalidTrailersAreNotPassedOn(t *testing.T) {
	target := startRawTarget(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nTrailer: Valid\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Y: z\r\nValid: a\r\n\r\n")
	})
	front, back := startNodes(t, target, 8)
	for _, entry := range []*testNode{front, back} {
		c := dial(t, entry.caller)
		if _, err := io.WriteString(c, "GET /order HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(c)
		if err != nil || !strings.Contains(string(text), "whole\r\n0\r\nValid: a\r\n\r\n") || strings.Contains(string(text), "X Y") {
			t.Errorf("got %q with error %v, want the body and only the valid trailer", text, err)
		}
	}
}
