package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxInlineBodyBytes is the largest request body that is written before the answer is
	// read, in bytes; it fits the socket's buffers.
	maxInlineBodyBytes = 64 << 10
	// defaultIdleTimeout is how long a connection is kept whose target did not say how
	// long it keeps it.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction of the time that the target states is waited at most: its own
	// clock started earlier.
	idleTimeoutFraction = 0.8
	// maxIdleConns bounds the idle connections; the gate bounds those in use.
	maxIdleConns = 1024
)

// connection carries one request at a time.
type connection struct {
	net.Conn
	reader        *bufio.Reader
	bytesWritten  atomic.Bool
	writeResult   chan error // the outcome of a request that is sent beside reading
	stopCancel    func() bool
	reuseDeadline time.Time // not used from then on
}

var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// writeRequest writes a request as it is.
func (c *connection) writeRequest(req *http.Request) error {
	w := writers.Get().(*bufio.Writer)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	w.Reset(c)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// Write notes that bytes have left.
func (c *connection) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.bytesWritten.Store(true)
	}
	return n, err
}

// reusable reports whether the connection stands and has nothing to be read.
func (c *connection) reusable() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// pool holds idle connections, the one used last on top.
type pool struct {
	mu   sync.Mutex
	idle []*connection
}

// get returns an idle connection that still stands, or nil.
func (p *pool) get(now time.Time) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.reuseDeadline) && c.reusable() {
			c.bytesWritten.Store(false)
			return c
		}
		_ = c.Close()
	}
}

func (p *pool) pop() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

// put keeps a connection and closes those whose time is over.
func (p *pool) put(now time.Time, c *connection) {
	p.mu.Lock()
	var over []*connection
	for len(p.idle) > 0 && (!now.Before(p.idle[0].reuseDeadline) || len(p.idle) >= maxIdleConns) {
		over = append(over, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, o := range over {
		_ = o.Close()
	}
}

// idleTimeout returns how long a connection may be reused after an answer, 0 for not.
func idleTimeout(res *http.Response) time.Duration {
	if res.Close {
		return 0
	}
	for part := range strings.SplitSeq(res.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil && seconds >= 0 {
			return time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// responseBody gives its connection back once it has been read whole.
type responseBody struct {
	io.ReadCloser
	conn        *connection
	pool        *pool
	idleTimeout time.Duration
	closed      bool
	sawEOF      bool
}

// Read reports the end of a body that is whole as io.EOF.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.sawEOF = true
	}
	return n, err
}

// Close keeps the connection only if nothing is left on it.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	c := b.conn
	if !c.stopCancel() || !b.sawEOF || b.idleTimeout <= 0 || !c.requestWritten() || c.reader.Buffered() > 0 {
		return c.Close()
	}
	now := time.Now()
	c.reuseDeadline = now.Add(b.idleTimeout)
	b.pool.put(now, c)
	return nil
}

// requestWritten reports whether the request has been written whole.
func (c *connection) requestWritten() bool {
	if c.writeResult == nil {
		return true
	}
	select {
	case err := <-c.writeResult:
		c.writeResult = nil
		return err == nil
	default:
		return false
	}
}
