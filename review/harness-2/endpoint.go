package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in for an application endpoint beside a node.
type endpoint struct {
	rig      *rig
	node     *node
	id       string
	slots    int
	born     int64
	state    string
	sequence atomic.Int64
	listener net.Listener
	// serve handles one request, whose body is still unread. It reports whether the connection is
	// kept.
	serve func(c *net.TCPConn, in *bufio.Reader, req *http.Request) bool
}

// addEndpoint starts an endpoint beside a node and its heartbeats.
func (r *rig) addEndpoint(n *node, id string, slots int, serve func(c *net.TCPConn, in *bufio.Reader, req *http.Request) bool) *endpoint {
	l, err := net.Listen("tcp", n.app)
	if err != nil {
		abort("listen for endpoint %s: %w", id, err)
	}
	e := &endpoint{rig: r, node: n, id: id, slots: slots, born: time.Now().UnixMilli(), state: "ready", listener: l, serve: serve}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tcp := c.(*net.TCPConn)
			go e.handle(tcp)
		}
	}()
	go func() {
		for {
			e.beat()
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return e
}

func (e *endpoint) handle(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if want := req.Header.Get("Expect-Instance"); want != "" && want != e.id {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id)
			return
		}
		e.rig.logf("endpoint %s begins to run %s %s id=%s tenant=%s caller-service=%s deadline-ms=%s length=%d", e.id, req.Method, req.URL.Path,
			req.Header.Get("Request-Id"), req.Header.Get("Tenant"), req.Header.Get("Caller-Service"), req.Header.Get("Deadline-Milliseconds"), req.ContentLength)
		if !e.serve(c, in, req) {
			return
		}
	}
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (e *endpoint) beat() bool {
	body, _ := json.Marshal(map[string]any{
		"address": e.node.app, "born": e.born,
		"information": map[string]any{"service": e.node.config.service, "version": "v1", "zone": e.node.config.zone, "slots": e.slots},
		"status":      map[string]any{"state": e.state, "sequence": e.sequence.Add(1), "cold-remaining-ms": 0},
	})
	req, _ := http.NewRequest(http.MethodPut, "http://"+e.node.control+"/instances/"+e.id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode/100 == 2
}
