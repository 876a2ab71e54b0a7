package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"celeryshelf/core"
)

// maxDetectionTime is the bound on the time from a client's disconnect to the end of its call.
const maxDetectionTime = 500 * time.Millisecond

// calls returns the number of calls that a node handles.
func (n *testNode) calls(t *testing.T) int {
	count := 0
	if !n.loop.Inspect(t.Context(), func(s *core.State) { count = s.Status().Calls }) {
		t.Fatal("control loop has stopped")
	}
	return count
}

// awaitCalls waits until a node handles the given number of calls, and returns how long that took.
func (n *testNode) awaitCalls(t *testing.T, want int) time.Duration {
	t.Helper()
	const limit = 5 * time.Second
	start := time.Now()
	for n.calls(t) != want {
		if time.Since(start) > limit {
			t.Fatalf("%s handles %d calls after %s, want %d", n.member.Name, n.calls(t), limit, want)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// Ways in which a client ends its connection.
func closeConn(c net.Conn) { _ = c.Close() }
func resetConn(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }

// disconnect is a client that leaves while its call is in a queue.
type disconnect struct {
	name    string
	bytes   int // of the body
	chunked bool
	end     func(net.Conn)
}

// TestDisconnectEndsAQueuedCall guards against a call whose client has closed its connection and
// that stays in a queue, from where it is sent to the target later (review/5). What remains unread
// of a long body hides the end of the connection from net/http.
func TestDisconnectEndsAQueuedCall(t *testing.T) {
	for _, tt := range []disconnect{
		{"no body", 0, false, closeConn},
		{"buffered body", 1000, false, closeConn},
		{"100 kB", 100_000, false, closeConn},
		{"100 kB in chunks", 100_000, true, closeConn},
		{"3 MB", 3_000_000, false, closeConn},
		{"64 MiB, reset", 64 << 20, false, resetConn},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			testQueuedDisconnect(t, tt)
		})
	}
}

// TestDisconnectEndsAQueuedCallWithAVeryLongBody guards against the same for bodies that neither the
// nodes nor the kernel's buffers hold: the end of the connection follows bytes that the client's
// kernel has not sent.
func TestDisconnectEndsAQueuedCallWithAVeryLongBody(t *testing.T) {
	for _, tt := range []disconnect{
		{"16 MiB", 16 << 20, false, closeConn},
		{"64 MiB", 64 << 20, false, closeConn},
	} {
		t.Run(tt.name, func(t *testing.T) { testQueuedDisconnect(t, tt) })
	}
}

func testQueuedDisconnect(t *testing.T, tt disconnect) {
	const slots = 10
	release := make(chan struct{})
	var began atomic.Int64
	target := startTarget(t, func(http.ResponseWriter, *http.Request) {
		began.Add(1)
		<-release
	})
	front, back := startNodes(t, target, slots)
	for range slots {
		upload{}.start(dial(t, front.caller))
	}
	front.awaitCalls(t, slots)
	back.awaitCalls(t, slots)
	c := dial(t, front.caller)
	upload{body: make([]byte, tt.bytes), chunked: tt.chunked}.start(c)
	back.awaitCalls(t, slots+1)
	time.Sleep(100 * time.Millisecond) // the body arrives
	tt.end(c)
	took := back.awaitCalls(t, slots)
	if front.awaitCalls(t, slots); took > maxDetectionTime {
		t.Errorf("the call was in the queue for %s after the disconnect, want at most %s", took, maxDetectionTime)
	}
	close(release)
	front.awaitCalls(t, 0)
	if n := began.Load(); n != slots {
		t.Errorf("%d calls reached the target, want %d", n, slots)
	}
}

// TestDisconnectEndsACallAtItsTarget guards against a target that works on for a client that has
// left: one that reads no body, and one that has read all of it.
func TestDisconnectEndsACallAtItsTarget(t *testing.T) {
	for _, size := range []int{0, 100_000, 3_000_000} {
		for _, reads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, read %t", size, reads), func(t *testing.T) {
				t.Parallel()
				began := make(chan struct{})
				release := make(chan struct{})
				t.Cleanup(func() { close(release) })
				target := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
					if reads {
						receive(r.Body, make([]byte, size), size+1)
					}
					close(began)
					select {
					case <-r.Context().Done():
					case <-release:
					}
				})
				front, back := startNodes(t, target, 1)
				c := dial(t, front.caller)
				upload{body: make([]byte, size)}.start(c)
				<-began
				time.Sleep(100 * time.Millisecond) // the rest of the body arrives
				closeConn(c)
				start := time.Now()
				back.awaitCalls(t, 0)
				if took := time.Since(start); took > maxDetectionTime {
					t.Errorf("took %s, want at most %s", took, maxDetectionTime)
				}
				front.awaitCalls(t, 0)
			})
		}
	}
}

// TestDisconnectDuringTheBodyEndsTheCall guards against a call that goes on although its client has
// left before it has sent the whole body.
func TestDisconnectDuringTheBodyEndsTheCall(t *testing.T) {
	for _, sent := range []int{0, 10_000, 70_000, 500_000} {
		t.Run(fmt.Sprintf("%d of 1000000 bytes", sent), func(t *testing.T) {
			t.Parallel()
			ended := make(chan struct{}, 1)
			target := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
				receive(r.Body, make([]byte, sent), 1_000_000)
				ended <- struct{}{}
			})
			front, back := startNodes(t, target, 1)
			c := dial(t, front.caller)
			if _, err := fmt.Fprintf(c, "POST /order HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n%s", make([]byte, sent)); err != nil {
				t.Fatal(err)
			}
			back.awaitCalls(t, 1)
			time.Sleep(50 * time.Millisecond)
			start := time.Now()
			closeConn(c)
			<-ended
			front.awaitCalls(t, 0)
			back.awaitCalls(t, 0)
			if took := time.Since(start); took > maxDetectionTime {
				t.Errorf("took %s, want at most %s", took, maxDetectionTime)
			}
		})
	}
}
