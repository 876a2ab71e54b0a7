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
	// inlineBody is the largest request body that is written before the answer is
	// read, in bytes; it fits the socket's buffers.
	inlineBody = 64 << 10
	// defaultIdle is how long a connection is kept whose target did not say how
	// long it keeps it.
	defaultIdle = 4 * time.Second
	// idleShare of the time that the target states is waited at most: its own
	// clock started earlier.
	idleShare = 0.8
	// maxIdle bounds the idle connections; the gate bounds those in use.
	maxIdle = 1024
)

// connection carries one request at a time.
type connection struct {
	net.Conn
	reader  *bufio.Reader
	wrote   atomic.Bool
	sending chan error // the outcome of a request that is sent beside reading
	stop    func() bool
	until   time.Time // not used from then on
}

var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// send writes a request as it is.
func (c *connection) send(req *http.Request) error {
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
		c.wrote.Store(true)
	}
	return n, err
}

// quiet reports whether the connection stands and has nothing to be read.
func (c *connection) quiet() bool {
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

// take returns an idle connection that still stands, or nil.
func (p *pool) take(now time.Time) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.until) && c.quiet() {
			c.wrote.Store(false)
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
	for len(p.idle) > 0 && (!now.Before(p.idle[0].until) || len(p.idle) >= maxIdle) {
		over = append(over, p.idle[0])
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
	for _, o := range over {
		_ = o.Close()
	}
}

// keepAlive returns how long a connection may be reused after an answer, 0 for not.
func keepAlive(res *http.Response) time.Duration {
	if res.Close {
		return 0
	}
	for part := range strings.SplitSeq(res.Header.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil && seconds >= 0 {
			return time.Duration(idleShare * float64(seconds) * float64(time.Second))
		}
	}
	return defaultIdle
}

// body gives its connection back once it has been read whole.
type body struct {
	io.ReadCloser
	conn *connection
	pool *pool
	keep time.Duration
	done bool
	end  bool
}

// Read reports the end of a body that is whole as io.EOF.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.end = true
	}
	return n, err
}

// Close keeps the connection only if nothing is left on it.
func (b *body) Close() error {
	if b.done {
		return nil
	}
	b.done = true
	c := b.conn
	if !c.stop() || !b.end || b.keep <= 0 || !c.sent() || c.reader.Buffered() > 0 {
		return c.Close()
	}
	now := time.Now()
	c.until = now.Add(b.keep)
	b.pool.put(now, c)
	return nil
}

// sent reports whether the request has been written whole.
func (c *connection) sent() bool {
	if c.sending == nil {
		return true
	}
	select {
	case err := <-c.sending:
		c.sending = nil
		return err == nil
	default:
		return false
	}
}
