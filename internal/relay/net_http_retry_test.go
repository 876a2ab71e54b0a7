package relay

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// startCuttingServer starts a server that responds to the first request on a connection
// and closes the connection after it has read the second one.
func startCuttingServer(t *testing.T, seen *atomic.Int32) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveAndCut(conn, seen)
		}
	}()
	return l.Addr().String()
}

func serveAndCut(conn net.Conn, seen *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 0; n < 2; n++ {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		seen.Add(1)
		if n == 0 {
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		}
	}
}

// net/http resends some requests when a reused connection closes after the server has
// read the request, so that the request could be executed twice.
func TestRequestIsNotResentWhenConnectionCloses(t *testing.T) {
	for _, tt := range []struct {
		name, method, header string
	}{
		{"read without body", http.MethodGet, ""},
		{"key on a write", http.MethodPost, "Idempotency-Key"},
		{"other key on a write", http.MethodPost, "X-Idempotency-Key"},
		{"key on a read", http.MethodGet, "Idempotency-Key"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var seen atomic.Int32
			at := startCuttingServer(t, &seen)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			send := func() error {
				req, err := http.NewRequest(tt.method, "http://"+at+"/", http.NoBody)
				if err != nil {
					t.Fatal(err)
				}
				if tt.header != "" {
					req.Header.Set(tt.header, "k")
				}
				preventNetHTTPRetry(req)
				res, err := transport.RoundTrip(req)
				if err == nil {
					_ = res.Body.Close()
				}
				return err
			}
			if err := send(); err != nil {
				t.Fatal(err)
			}
			if err := send(); err == nil {
				t.Error("request on the closed connection got a response, so it was sent again")
			}
			if got := seen.Load(); got != 2 {
				t.Errorf("server read %d requests, want 2", got)
			}
		})
	}
}
