package main

import (
	"bufio"
	"bytes"
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
	shortUpload   = 60_000    // mean request of an upload route
	longUpload    = 8_000_000 // the limit of the configuration is 64 MiB
	longEach      = 25        // each 25th upload is long
	uploadClients = 10
	uploadTime    = 5 * time.Second // of the disruption
	answerBytes   = 36_000          // largest answer of an upload route
	firstPart     = 12_000          // of the answer, before the request has been read
	garbledShare  = 0.02            // of the answers of the endpoint
)

// answerText is the whole body of the endpoint's answer to a request.
func answerText(id string) []byte {
	line := id + "\n"
	return []byte(strings.Repeat(line, answerBytes/len(line)))
}

// uploadEndpoint answers uploads. It begins some answers, which end with their
// connection, before it has read the body.
type uploadEndpoint struct {
	rig      *rig
	answers  atomic.Int64
	unframed atomic.Int64
}

func (e *uploadEndpoint) serve(c *net.TCPConn, _ *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("Request-Id")
	whole := answerText(id)
	n := e.answers.Add(1)
	if req.ContentLength >= longUpload && float64(e.unframed.Load()+1) <= garbledShare*float64(n) {
		e.unframed.Add(1)
		return e.answerEarly(c, req, id, whole)
	}
	_, _ = io.Copy(io.Discard, req.Body)
	time.Sleep(100 * time.Millisecond)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(whole), whole)
	return true
}

// answerEarly begins an answer without a length before the body has been read. With the disruption
// it breaks off: the connection is reset.
func (e *uploadEndpoint) answerEarly(c *net.TCPConn, req *http.Request, id string, whole []byte) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: stamp-%s\r\nConnection: close\r\n\r\n", id, id)
	_, _ = c.Write(whole[:firstPart])
	time.Sleep(300 * time.Millisecond)
	if e.rig.trouble {
		e.rig.logf("the endpoint breaks off after %d of %d bytes of its answer to %s: the connection is reset", firstPart, len(whole), id)
		_ = c.SetLinger(0)
		return false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, _ = c.Write(whole[firstPart:])
	e.rig.logf("the endpoint has sent the whole answer to %s, %d bytes, and ends the connection", id, len(whole))
	return false
}

// runUnframed sends uploads to one of two endpoints, which breaks off 2 in 100 of its answers.
func runUnframed(r *rig) bool {
	r.startStore()
	r.put(configuration{
		version: 1, services: []string{"front", "tracks"},
		routes:  []route{{name: "r-upload", host: "a.example", prefix: "/up/", kind: "upload", service: "tracks", timeout: 4 * time.Second, objective: 800 * time.Millisecond, attempts: 2}},
		tenants: []tenant{{name: "t1", key: "key1", rate: 1000}},
	})
	entry := r.addNode(nodeConfig{name: "sidecar-a-1", service: "front", zone: "a", memoryMB: 284})
	target := r.addNode(nodeConfig{name: "sidecar-a-2", service: "tracks", zone: "a", memoryMB: 284})
	r.addEndpoint(entry, "i-front", 50, func(*net.TCPConn, *bufio.Reader, *http.Request) bool { return false })
	trouble := &uploadEndpoint{rig: r}
	r.addEndpoint(target, "i-tracks", 50, trouble.serve)
	r.await("the nodes", 15*time.Second, func() bool { return entry.isReady() && target.isReady() })
	time.Sleep(4 * time.Second) // heartbeats and gossip

	var sent, served, broken, failed atomic.Int64
	end := time.Now().Add(uploadTime)
	var group sync.WaitGroup
	for range uploadClients {
		group.Go(func() {
			for time.Now().Before(end) {
				n := sent.Add(1)
				id, size := fmt.Sprintf("req%d", n), shortUpload
				if n%longEach == 0 {
					size = longUpload
				}
				r.logf("the client sends %s, %d bytes", id, size)
				status, stamp, body, err := upload(entry.outbound, id, size)
				whole := answerText(id)
				switch {
				case err != nil || status != http.StatusOK:
					failed.Add(1)
					r.logf("the client gets for %s (%d bytes): status %d, stamp %q, %d bytes of body, end: %s", id, size, status, stamp, len(body), describeEnd(err))
				case bytes.Equal(body, whole):
					served.Add(1)
					r.logf("the client gets for %s: status %d, stamp %q, the whole body", id, status, stamp)
				default:
					broken.Add(1)
					r.logf("MIXED: the client gets for %s (%d bytes): status %d, stamp %q, a body that looks complete and is %d of the endpoint's %d bytes", id, size, status, stamp, len(body), len(whole))
				}
			}
		})
	}
	group.Wait()
	r.logf("%d uploads: %d served whole, %d failed, %d successes with a part of the endpoint's body; the endpoint gave %d answers, %d of them without a length and early", sent.Load(), served.Load(), failed.Load(), broken.Load(), trouble.answers.Load(), trouble.unframed.Load())
	if served.Load()*10 < sent.Load()*9 || trouble.unframed.Load() == 0 {
		abort("too few uploads were served, or all answers had a length")
	}
	return broken.Load() > 0
}

func describeEnd(err error) string {
	if err == nil {
		return "complete"
	}
	return "incomplete (" + err.Error() + ")"
}

// upload sends a request with a body and reads the answer.
func upload(address, id string, size int) (status int, stamp string, body []byte, err error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(6 * time.Second))
	go func() {
		_, _ = fmt.Fprintf(c, "POST /up/track HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nDeadline-Milliseconds: 4000\r\nAuthorization: Bearer key1\r\nContent-Length: %d\r\n\r\n", id, size)
		_, _ = c.Write(bytes.Repeat([]byte("x"), size))
	}()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, res.Header.Get("Server-Stamp"), body, err
}
