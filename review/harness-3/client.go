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

// request is a client's request.
type request struct {
	id, method, host, path, key, body string
	deadline                          time.Duration
}

// outcome is what a client got.
type outcome struct {
	status int // 0 if there was no whole answer
	stamp  string
	closes bool // the answer ends its connection
	kept   bool // on a connection that had carried another request
	err    error
	took   time.Duration
}

var lastRequest atomic.Int64

func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastRequest.Add(1))
}

// client sends requests to one node, one at a time on each connection, and keeps connections
// open.
type client struct {
	to   string
	mu   sync.Mutex
	idle []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	closed bool
}

func (c *client) connect() (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	raw, err := net.DialTimeout("tcp", c.to, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: raw, reader: bufio.NewReader(raw)}, nil
}

func (r request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Milliseconds: %d\r\n", r.method, r.path, r.host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	if r.body != "" || r.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// send sends a request and reads its answer, until the client's deadline.
func (c *client) send(r request) outcome {
	start := time.Now()
	conn, err := c.connect()
	if err != nil {
		return outcome{err: err, took: time.Since(start)}
	}
	o := outcome{kept: conn.used}
	o.err = conn.exchange(r, start, &o)
	o.took = time.Since(start)
	if o.err != nil {
		o.status = 0
		_ = conn.Close()
		return o
	}
	if !conn.closed {
		c.put(conn)
	}
	return o
}

func (c *clientConn) exchange(r request, start time.Time, o *outcome) error {
	_ = c.SetDeadline(start.Add(r.deadline))
	if _, err := io.WriteString(c, r.text()); err != nil {
		return err
	}
	req := &http.Request{Method: r.method}
	res, err := http.ReadResponse(c.reader, req)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	o.status, o.stamp, o.closes = res.StatusCode, res.Header.Get("Server-Stamp"), res.Close
	if got := res.Header.Get("Request-Id"); got != "" && got != r.id {
		return fmt.Errorf("answer to %s", got)
	}
	c.used = true
	if res.Close {
		c.closed = true
		return c.Close()
	}
	return nil
}

// put keeps a connection for a later request.
func (c *client) put(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// closeIdle closes the kept connections.
func (c *client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close()
	}
	c.idle = nil
}
