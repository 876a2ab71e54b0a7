package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	headMemoryMB = 184 // of the machines beside the endpoints of the service
	headSlots    = 266 // of each of its endpoints
	headCallers  = 300 // at the same time
	headWaves    = 2
	headTimeout  = 2 * time.Second
	headAtOnce   = 64_000 // bytes of the head without end that come at once
)

// endlessHead returns the beginning of a head without end: short lines, each with another name.
func endlessHead(size int) string {
	const first, rest = "abcdefghijklmnopqrstuvwxyz!#$%&'*+.^_`|~", "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+.^_`|~"
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\n")
	for i := 0; b.Len() < size; i++ {
		b.WriteByte(first[i%len(first)])
		b.WriteByte(rest[i/len(first)%len(rest)])
		b.WriteByte(rest[i/len(first)/len(rest)%len(rest)])
		b.WriteString(":\n")
	}
	return b.String()
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb >> 10
		}
	}
	return 0
}

// runHead lets callers ask an endpoint whose answers, with the disruption, are bytes without end that
// look like a head. The rig kills a node that exceeds the memory of its machine, as the platform does.
func runHead(r *rig) bool {
	r.startStore()
	r.put(configuration{
		version: 1, services: []string{"tracks"},
		routes:  []route{{name: "r-index", host: "a.example", prefix: "/index/", kind: "safe", service: "tracks", timeout: headTimeout, objective: 800 * time.Millisecond, attempts: 2}},
		tenants: []tenant{{name: "t1", key: "key1", rate: 2 * headCallers}},
	})
	target := r.addNode(nodeConfig{name: "sidecar-a-1", service: "tracks", zone: "a", memoryMB: headMemoryMB})
	head := endlessHead(headAtOnce)
	r.addEndpoint(target, "i-tracks", headSlots, func(c *net.TCPConn, _ *bufio.Reader, req *http.Request) bool {
		id := req.Header.Get("Request-Id")
		if r.trouble {
			_, err := io.WriteString(c, head)
			for ; err == nil; _, err = io.WriteString(c, "x:\n") {
				time.Sleep(100 * time.Millisecond)
			}
			return false
		}
		time.Sleep(headTimeout / 4)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: 2\r\n\r\nok", id, id)
		return true
	})
	r.await("the node", 15*time.Second, target.isReady)
	time.Sleep(4 * time.Second) // heartbeats

	r.logf("the node holds %d MB before the callers come; its machine has %d MB", residentMB(target.Process.Pid), headMemoryMB)
	var most, served, unserved atomic.Int64
	var killed atomic.Bool
	go func() {
		for ; !target.ended(); time.Sleep(20 * time.Millisecond) {
			now := residentMB(target.Process.Pid)
			most.Store(max(most.Load(), now))
			if now > headMemoryMB && !killed.Swap(true) {
				r.logf("the node holds %d MB and its machine has %d MB: the platform kills it", now, headMemoryMB)
				_ = target.Process.Signal(syscall.SIGKILL)
			}
		}
	}()
	for wave := range headWaves {
		var group sync.WaitGroup
		for i := range headCallers {
			group.Go(func() {
				id := fmt.Sprintf("w%d-%d", wave, i)
				r.logf("the client sends %s", id)
				answer := get(target.outbound, "/index/x", id, headTimeout)
				r.logf("the client gets for %s: %s", id, answer)
				if strings.HasPrefix(answer, "200") {
					served.Add(1)
				} else {
					unserved.Add(1)
				}
			})
		}
		group.Wait()
	}
	r.logf("%d requests served, %d not; most memory of the node: %d MB of %d MB", served.Load(), unserved.Load(), most.Load(), headMemoryMB)
	if !r.trouble && served.Load() < headWaves*headCallers/2 {
		abort("too few requests were served without the disruption")
	}
	return killed.Load()
}

// get sends a request on a connection of its own and describes the answer.
func get(address, path, id string, deadline time.Duration) string {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\nAuthorization: Bearer key1\r\n\r\n", path, id, deadline.Milliseconds())
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Sprintf("%d, incomplete: %v", res.StatusCode, err)
	}
	return strconv.Itoa(res.StatusCode)
}
