package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// descriptorLimit is `file-descriptors` of the settings, which the platform sets.
const descriptorLimit = 4100

// fullOfConnections: 1.8 times as many clients as usual send requests on kept connections.
func fullOfConnections(w *world) bool {
	const (
		peers      = 6
		slots      = 159
		work       = 1900 * time.Millisecond
		usualFront = 900
		usualPeer  = 170
		burst      = 1.8
		before     = 6 * time.Second
		lasts      = 20 * time.Second
		allowed    = 3
	)
	front := w.addNode("sidecar-a-0", "front", "zone-a")
	for i := range peers {
		w.addNode(fmt.Sprintf("sidecar-%c-%d", 'a'+i%3, i+1), "back", fmt.Sprintf("zone-%c", 'a'+i%3))
	}
	w.putConfig(3, []route{
		{Name: "r-1", Host: host, Prefix: "/back/", Kind: "safe", Service: "back", Timeout: 6 * time.Second, Target: 3 * time.Second, Public: true, Attempts: 2},
		{Name: "r-2", Host: host, Prefix: "/front/", Kind: "safe", Service: "front", Timeout: 6 * time.Second, Target: 3 * time.Second, Public: true, Attempts: 2},
	}, nil, "front", "back")
	w.startNodes()
	for _, n := range w.nodes {
		n.limitDescriptors(descriptorLimit)
	}
	for i, n := range w.nodes {
		w.addEndpoint(n, fmt.Sprintf("i-%d", i), slots, work)
	}
	w.settle()
	var ended, lost, answered atomic.Int64
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-front.exited:
			w.logf("the process of %s has ended by itself: %v", front.name, front.cmd.ProcessState)
		case <-done:
		}
	}()
	stop := time.Now().Add(before + lasts)
	var clients sync.WaitGroup
	client := func(n *node, name, path string, until time.Time) {
		var conn net.Conn
		var in *bufio.Reader
		kept := false
		for i := 0; time.Now().Before(until); i++ {
			if conn == nil {
				var err error
				if conn, err = net.DialTimeout("tcp", n.outbound, time.Second); err != nil {
					conn = nil
					time.Sleep(100 * time.Millisecond)
					continue
				}
				in, kept = bufio.NewReader(conn), false
			}
			id := fmt.Sprintf("%s-%d", name, i)
			_ = conn.SetDeadline(time.Now().Add(7 * time.Second))
			_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 6000\r\n\r\n", path, host, id)
			res, err := http.ReadResponse(in, nil)
			if err == nil {
				_, err = io.Copy(io.Discard, res.Body)
			}
			switch {
			case err != nil:
				if kept && n == front && w.ran(id) {
					lost.Add(1)
					w.logf("client %s: kept connection to %s closed without an answer to %s, which runs: %v", name, n.name, id, err)
				}
				_ = conn.Close()
				conn = nil
			default:
				answered.Add(1)
				kept = true
				if res.Close {
					_ = conn.Close()
					conn = nil
				}
				if res.StatusCode != 200 {
					time.Sleep(250 * time.Millisecond)
				}
			}
		}
		if conn != nil {
			_ = conn.Close()
		}
	}
	start := func(usual float64, count int, n *node, path, kind string) {
		for i := range count {
			clients.Go(func() {
				late := float64(i) >= usual
				if late {
					time.Sleep(before)
				}
				client(n, fmt.Sprintf("%s-%s-%d", kind, n.name, i), path, stop)
			})
		}
	}
	factor := 1.0
	if trouble() {
		factor = burst
	}
	start(usualFront, int(usualFront*factor), front, "/back/1", "f")
	for _, n := range w.nodes[1:] {
		start(usualPeer, int(usualPeer*factor), n, "/front/1", "p")
	}
	for time.Now().Before(stop) {
		time.Sleep(time.Second)
		w.logf("%s has %d descriptors open; answers so far %d", front.name, front.descriptors(), answered.Load())
	}
	clients.Wait()
	select {
	case <-front.exited:
		ended.Add(1)
	default:
	}
	w.logf("processes that ended by themselves: %d; kept connections closed without an answer to a request that an endpoint was running: %d", ended.Load(), lost.Load())
	return lost.Load() > allowed
}
