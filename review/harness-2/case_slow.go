package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slowCallers  = 12
	slowBytes    = 36_000 // largest answer of a download
	slowWindow   = 4 << 10
	slowPause    = 2 * time.Second // in which the caller does not read
	slowDeadline = 5 * time.Second
	slowStop     = 300 * time.Millisecond // from the requests to the SIGTERM
)

// runSlow sends requests on kept connections to a node that gets SIGTERM while the answers are on
// their way. With the disruption the callers read slowly: they pause after the first bytes.
func runSlow(r *rig) bool {
	r.startStore()
	r.put(configuration{
		version: 1, services: []string{"dispatch"},
		routes:  []route{{name: "r-dispatch", host: "a.example", prefix: "/get/", kind: "download", service: "dispatch", timeout: slowDeadline, objective: 600 * time.Millisecond, attempts: 2}},
		tenants: []tenant{{name: "t1", key: "key1", rate: 200}},
	})
	target := r.addNode(nodeConfig{name: "sidecar-a-1", service: "dispatch", zone: "a", memoryMB: 284})
	r.addEndpoint(target, "i-dispatch", 100, func(c *net.TCPConn, _ *bufio.Reader, req *http.Request) bool {
		id := req.Header.Get("Request-Id")
		n, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, slowBytes, strings.Repeat("y", slowBytes))
		r.logf("the endpoint has sent its whole answer to %s, %d bytes, error: %v", id, n, err)
		return true
	})
	r.await("the node", 15*time.Second, target.isReady)
	time.Sleep(4 * time.Second) // heartbeats

	var whole, lost atomic.Int64
	var kept, sent, group sync.WaitGroup
	kept.Add(slowCallers)
	sent.Add(slowCallers)
	stopped := make(chan struct{})
	for i := range slowCallers {
		group.Go(func() {
			c, in := r.keepConnection(target.outbound, fmt.Sprintf("first%d", i))
			kept.Done()
			kept.Wait()
			id := fmt.Sprintf("second%d", i)
			askOn(c, id)
			r.logf("the client sends %s on its kept connection", id)
			sent.Done()
			got, err := r.readAnswer(in, id)
			if err != nil || got != slowBytes {
				lost.Add(1)
				r.logf("LOST: %s ends after %d of %d bytes of its answer: %v", id, got, slowBytes, err)
			} else {
				whole.Add(1)
				r.logf("the client has the whole answer to %s", id)
			}
			<-stopped
			_ = c.Close()
		})
	}
	sent.Wait()
	time.Sleep(slowStop)
	r.logf("the platform sends SIGTERM")
	_ = target.Process.Signal(syscall.SIGTERM)
	close(stopped)
	group.Wait()
	r.logf("%d answers whole, %d requests passed on to the endpoint and ended without a complete answer", whole.Load(), lost.Load())
	return lost.Load() > 0
}

// askOn sends a request on a connection.
func askOn(c net.Conn, id string) {
	_, _ = fmt.Fprintf(c, "GET /get/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nAuthorization: Bearer key1\r\n\r\n", id, slowDeadline.Milliseconds())
}

// keepConnection opens a connection with a small window and gets a first answer on it.
func (r *rig) keepConnection(address, id string) (net.Conn, *bufio.Reader) {
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowWindow)
		})
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		r.fail("connect: %v", err)
	}
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	in := bufio.NewReaderSize(c, 1<<10)
	askOn(c, id)
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		r.fail("first answer: %v", err)
	}
	if n, err := io.Copy(io.Discard, res.Body); err != nil || n != slowBytes {
		r.fail("first answer: %d bytes, %v", n, err)
	}
	return c, in
}

// readAnswer reads an answer, slowly with the disruption, and returns the bytes of its body.
func (r *rig) readAnswer(in *bufio.Reader, id string) (int64, error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, err
	}
	first, err := io.CopyN(io.Discard, res.Body, 2000)
	if err != nil {
		return first, err
	}
	if r.trouble {
		r.logf("the client has read %d bytes of the answer to %s and reads on in %s", first, id, slowPause)
		time.Sleep(slowPause)
	}
	rest, err := io.Copy(io.Discard, res.Body)
	return first + rest, err
}
