package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// startServer serves each connection by a function of its own, in order.
func startServer(t *testing.T, serve ...func(c net.Conn)) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, f := range serve {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				f(c)
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// readHead reads a request without a body.
func readHead(c net.Conn) bool {
	var text []byte
	b := make([]byte, 1)
	for !strings.HasSuffix(string(text), "\r\n\r\n") {
		if _, err := c.Read(b); err != nil {
			return false
		}
		text = append(text, b[0])
	}
	return true
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// requestIDVerifier takes an answer for the request's only if it names it.
type requestIDVerifier struct{}

func (requestIDVerifier) Verify(req *http.Request, res *http.Response) error {
	if res.Header.Get("Request-Id") != req.Header.Get("Request-Id") {
		return ErrResponseMismatch
	}
	return nil
}

func roundTrip(ctx context.Context, c *Client, id string, body io.Reader) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://target/x", body)
	if err != nil {
		return "", err
	}
	req.Header.Set("Request-Id", id)
	res, err := c.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return string(text), err
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// TestAnswersToOthersAreSkipped plays a target that sends a second answer to an
// earlier request where the next one is expected.
func TestAnswersToOthersAreSkipped(t *testing.T) {
	at := startServer(t, func(c net.Conn) {
		if !readHead(c) {
			return
		}
		writeResponse(c, "a", "first")
		if !readHead(c) {
			return
		}
		writeResponse(c, "a", "again")
		writeResponse(c, "b", "second")
		readHead(c)
	})
	c := NewClient(Config{Address: at, Verifier: requestIDVerifier{}})
	ctx := testContext(t)
	for _, tt := range []struct{ id, want string }{{"a", "first"}, {"b", "second"}} {
		if got, err := roundTrip(ctx, c, tt.id, nil); err != nil || got != tt.want {
			t.Errorf("request %s got %q, %v; want %q", tt.id, got, err, tt.want)
		}
	}
}

// TestStrayBytesEndTheConnection has bytes follow a complete answer: they belong to
// no request, and the next one goes out on another connection.
func TestStrayBytesEndTheConnection(t *testing.T) {
	stray := make(chan struct{})
	at := startServer(t, func(c net.Conn) {
		if readHead(c) {
			writeResponse(c, "a", "first")
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 5\r\n\r\nwrong"))
			close(stray)
			readHead(c)
		}
	}, func(c net.Conn) {
		if readHead(c) {
			writeResponse(c, "b", "second")
		}
	})
	c := NewClient(Config{Address: at, Verifier: requestIDVerifier{}})
	ctx := testContext(t)
	if got, err := roundTrip(ctx, c, "a", nil); err != nil || got != "first" {
		t.Fatalf("got %q, %v", got, err)
	}
	<-stray
	time.Sleep(50 * time.Millisecond) // the bytes arrive
	if got, err := roundTrip(ctx, c, "b", nil); err != nil || got != "second" {
		t.Errorf("got %q, %v", got, err)
	}
}

// TestBrokenAnswersAreNotWhole goes through the ends of an answer.
func TestBrokenAnswersAreNotWhole(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n"
	for _, tt := range []struct {
		name, text string
		reset      bool
		whole      bool
	}{
		{"short of its length", head + "Content-Length: 9\r\n\r\nshort", false, false},
		{"cut in its chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n", false, false},
		{"without a length, ended", head + "\r\nwhole", false, true},
		{"without a length, reset", head + "\r\ncut", true, false},
		{"no answer at all", "nonsense\r\n\r\n", false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			at := startServer(t, func(c net.Conn) {
				if !readHead(c) {
					return
				}
				_, _ = c.Write([]byte(tt.text))
				if tt.reset {
					time.Sleep(50 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			})
			c := NewClient(Config{Address: at, Verifier: requestIDVerifier{}})
			_, err := roundTrip(testContext(t), c, "a", nil)
			if (err == nil) != tt.whole {
				t.Errorf("got %v, want a whole answer: %v", err, tt.whole)
			}
			if errors.Is(err, ErrNotSent) {
				t.Error("the request was sent")
			}
		})
	}
}

func TestRefusedConnectionsSendNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := l.Addr().(*net.TCPAddr).AddrPort()
	_ = l.Close()
	if _, err := roundTrip(testContext(t), NewClient(Config{Address: at}), "a", nil); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
}

// failingBody is a body that breaks off.
type failingBody struct{ left int }

func (f *failingBody) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, errors.New("the sender has gone")
	}
	f.left--
	return copy(p, "x"), nil
}

// TestBrokenBodyEndsTheRequest sends a body that breaks off: the answer to half a
// request is not waited for.
func TestBrokenBodyEndsTheRequest(t *testing.T) {
	var done atomic.Bool
	at := startServer(t, func(c net.Conn) {
		_, _ = io.Copy(io.Discard, c)
		done.Store(true)
	})
	c := NewClient(Config{Address: at})
	ctx := testContext(t)
	if _, err := roundTrip(ctx, c, "a", &failingBody{left: 3}); err == nil || ctx.Err() != nil {
		t.Errorf("got %v, context %v", err, ctx.Err())
	}
}

func TestCancelledRequestsCloseTheirConnection(t *testing.T) {
	closed := make(chan struct{})
	at := startServer(t, func(c net.Conn) {
		if readHead(c) {
			readHead(c)
			close(closed)
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := roundTrip(ctx, NewClient(Config{Address: at}), "a", nil); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}

func TestKeepAlive(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                 defaultIdleTimeout,
		"timeout=10":       8 * time.Second,
		"max=5, timeout=1": 800 * time.Millisecond,
		"timeout=0":        0,
		"timeout=x":        defaultIdleTimeout,
	} {
		res := &http.Response{Header: http.Header{"Keep-Alive": {header}}}
		if got := idleTimeout(res); got != want {
			t.Errorf("%q: %s, want %s", header, got, want)
		}
	}
	if got := idleTimeout(&http.Response{Close: true}); got != 0 {
		t.Errorf("Connection: close keeps it for %s", got)
	}
}
