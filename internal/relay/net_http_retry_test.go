package relay

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// startCuttingServer serves HTTP by hand. It answers the first request on a connection and
// cuts the connection after the second one has come in whole.
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

// TestRequestIsNotResentWhenConnectionCloses cuts a reused connection after a request has been read.
// Left to itself net/http sends such a request again.
func TestRequestIsNotResentWhenConnectionCloses(t *testing.T) {
	for _, tt := range []struct {
		name, method, header string
	}{
		{"bodiless read", http.MethodGet, ""},
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
				t.Error("the cut request was answered, so it was sent again")
			}
			if got := seen.Load(); got != 2 {
				t.Errorf("%d requests arrived, 2 were sent", got)
			}
		})
	}
}
