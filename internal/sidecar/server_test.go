package sidecar

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestHeadsOfLocalRequestsAreBounded guards against a faulty endpoint whose heartbeats have
// heads without end, on many connections: the node would keep up to 1 MiB of each.
func TestHeadsOfLocalRequestsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := server(http.NotFoundHandler())
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, "PUT / HTTP/1.1\r\nHost: a\r\nX: "+strings.Repeat("a", 3*maxLocalHeaderBytes)); err != nil {
		t.Fatal(err)
	}
	answer := make([]byte, 64)
	n, err := c.Read(answer)
	if want := "HTTP/1.1 431"; err != nil || !strings.HasPrefix(string(answer[:n]), want) {
		t.Errorf("got %q, error %v; want %s before the end of the head", answer[:n], err, want)
	}
}
