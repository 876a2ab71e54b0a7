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
	"testing"
	"time"
)

// startRawTarget starts a target that handles each connection on which a request has arrived with
// a function. The function gets the connection after the head of the request.
func startRawTarget(t *testing.T, respond func(c *net.TCPConn)) netip.AddrPort {
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
			go func() {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
					respond(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
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
