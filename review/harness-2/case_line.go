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
	"time"
)

const (
	lineLead    = 2 * time.Second
	lineTime    = 15 * time.Second
	lineCallers = 10 // ordinary clients
	lineEach    = 200 * time.Millisecond
	contactTime = 3 * time.Second // `contact-ms` of the site
)

// lineConns are the connections of one client that nobody controls: how many have a request line of how
// many bytes. The short ones fill what the long ones leave of the node's memory for heads.
var lineConns = []struct{ conns, bytes int }{{120, 68_000}, {6, 30_000}, {6, 12_000}, {10, 4_000}, {10, 1_500}, {20, 500}, {40, 10}}

// holdLine opens a connection from another address, sends a head with a long request line and
// never the body, of one byte.
func (r *rig) holdLine(address string, size int, open *atomic.Int64) {
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return
	}
	open.Add(1)
	_, _ = fmt.Fprintf(c, "POST /index/%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: x\r\nContent-Length: 1\r\n\r\n", strings.Repeat("a", size))
	_, _ = io.Copy(io.Discard, c) // until the node closes it
	_ = c.Close()
	open.Add(-1)
}

// runLine lets ordinary clients ask a node, with the disruption beside a client that holds some
// connections with a long request line and an incomplete body.
func runLine(r *rig) bool {
	r.startStore()
	r.put(configuration{
		version: 1, services: []string{"tracks"},
		routes:  []route{{name: "r-index", host: "a.example", prefix: "/index/", kind: "safe", service: "tracks", timeout: 2 * time.Second, objective: 800 * time.Millisecond, attempts: 2}},
		tenants: []tenant{{name: "t1", key: "key1", rate: 200}},
	})
	target := r.addNode(nodeConfig{name: "sidecar-a-1", service: "tracks", zone: "a", memoryMB: 284})
	r.addEndpoint(target, "i-tracks", 100, func(c *net.TCPConn, _ *bufio.Reader, req *http.Request) bool {
		id := req.Header.Get("Request-Id")
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: 2\r\n\r\nok", id, id)
		return true
	})
	r.await("the node", 15*time.Second, target.isReady)
	time.Sleep(4 * time.Second) // heartbeats

	var open atomic.Int64
	if r.trouble {
		for _, l := range lineConns {
			for range l.conns {
				go r.holdLine(target.outbound, l.bytes, &open)
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(lineLead)
	var mu sync.Mutex
	counts := map[string]int{}
	began := time.Now()
	served := began
	longest := time.Duration(0)
	var group sync.WaitGroup
	for k := range lineCallers {
		group.Go(func() {
			time.Sleep(time.Duration(k) * lineEach / lineCallers)
			for n := 0; time.Since(began) < lineTime; n++ {
				id := fmt.Sprintf("ordinary%d-%d", k, n)
				answer := get(target.outbound, "/index/x", id, 2*time.Second)
				if strings.Contains(answer, "reset") {
					answer = "no answer: connection reset"
				}
				r.logf("the ordinary client's %s on a new connection gets: %s", id, answer)
				mu.Lock()
				counts[answer]++
				if answer == "200" {
					served = time.Now()
				}
				longest = max(longest, time.Since(served))
				mu.Unlock()
				time.Sleep(lineEach)
			}
		})
	}
	ready, asked := 0, 0
	for ; time.Since(began) < lineTime; time.Sleep(time.Second) {
		asked++
		if target.isReady() {
			ready++
		}
	}
	group.Wait()
	r.logf("%d ordinary clients in %s: %v; the other client holds %d connections", lineCallers, lineTime, counts, open.Load())
	r.logf("the node said that it was ready in %d of %d questions; the longest time in which it served none of them: %s", ready, asked, longest.Round(time.Millisecond))
	if ready < asked-1 {
		abort("the node was not ready")
	}
	return longest >= contactTime
}
