package etcd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"celeryshelf/internal/standin"
)

// newRawStore returns a client of a store that responds to each call with the same text.
func newRawStore(t *testing.T, text string) *Client {
	at, err := standin.StartRaw(t.Context(), func(c *net.TCPConn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, text)
	})
	if err != nil {
		t.Fatal(err)
	}
	return NewClient(Config{Addresses: []netip.AddrPort{at}})
}

// TestBrokenResponsesAreErrors guards against a malformed or cut response of the store that counts
// as a value or as the absence of a key.
func TestBrokenResponsesAreErrors(t *testing.T) {
	const (
		ok    = "HTTP/1.1 200 OK\r\n"
		empty = `{"header":{"revision":"2"}}`
	)
	length := fmt.Sprintf("Content-Length: %d\r\n", len(empty))
	for _, tt := range []struct {
		name, text string
		broken     bool
	}{
		{"sound", ok + length + "\r\n" + empty, false},
		{"status 000", "HTTP/1.1 000 OK\r\n" + length + "\r\n" + empty, true},
		{"status 600", "HTTP/1.1 600 OK\r\n" + length + "\r\n" + empty, true},
		{"space in a name", ok + "X Y: z\r\n" + length + "\r\n" + empty, true},
		{"space before the colon", ok + "Content-Length : 4\r\n\r\n" + empty, true},
		{"control byte in a name", ok + "X\x01: y\r\n" + length + "\r\n" + empty, true},
		{"control byte in a value", ok + "X: \x01\r\n" + length + "\r\n" + empty, true},
		{"body cut, with a length", ok + length + "\r\n" + empty[1:], true},
		{"body cut, without a length", ok + "\r\n" + empty[:len(empty)-1], true},
		{"body cut, in chunks", ok + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(empty), empty), true},
		{"no body", ok + "Content-Length: 0\r\n\r\n", true},
		{"cut head", ok + length, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			pair, err := newRawStore(t, tt.text).Get(t.Context(), "a")
			if (err != nil) != tt.broken {
				t.Errorf("got %v and error %v, want an error: %t", pair, err, tt.broken)
			}
		})
	}
}
