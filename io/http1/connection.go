package http1

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"celeryshelf/io/tcp"
)

const (
	// maxInlineBodyBytes is the largest request body that is written before the response
	// is read. It fits into the socket buffers.
	maxInlineBodyBytes = 64 << 10
	// defaultIdleTimeout applies to connections whose target sent no timeout in a
	// Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutFraction is the fraction of the target's keep-alive timeout after which
	// a connection is no longer used: the target starts its timer earlier.
	idleTimeoutFraction = 0.8
	// maxIdleConns limits the connections of a client without a ConnLimit. Those
	// in use are limited by admission control as well.
	maxConns = 8192
)

// connection is a connection that carries one request at a time.
type connection struct {
	net.Conn
	source        limitedReader // reads from Conn
	reader        *bufio.Reader // reads from source, nil while the connection is idle
	bytesWritten  atomic.Bool
	used          bool            // a response has been read from it
	written       <-chan struct{} // closed when a request that is written concurrently is done, nil if there is none
	writeErr      error           // result of that request, once written is closed
	writeFailed   atomic.Bool     // the connection has failed a write
	stopCancel    func() bool
	reuseDeadline time.Time // the connection is not reused from this time on
	limit         *ConnLimit
	counted       atomic.Bool   // in limit
	owner         *pool         // of an idle connection
	position      *list.Element // of an idle connection in its ConnLimit
}

// limitedReader limits and scans the bytes that are read while a response head is parsed.
type limitedReader struct {
	io.Reader
	limited   bool
	remaining int // bytes that may still be read while limited is set
	scanner   headScanner
}

func (r *limitedReader) limit(n int) { r.limited, r.remaining = true, n }

func (r *limitedReader) unlimit() { r.limited = false }

// Read reads from the underlying reader. It returns ErrHeadTooLarge once the limit is used up.
func (r *limitedReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.Reader.Read(p)
	}
	if r.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := r.Reader.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	r.scanner.scan(p[:n])
	return n, err
}

// writers pools the buffers of requests.
var writers = sync.Pool{New: func() any { return bufio.NewWriter(nil) }}

// writeRequest writes a request with its body.
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

// Write writes to the connection and records whether any byte may have been sent. While a
// call is in progress bytes may have been sent: it can still block when its request is
// cancelled.
func (c *connection) Write(p []byte) (int, error) {
	before := c.bytesWritten.Swap(true)
	n, err := c.Conn.Write(p)
	if n == 0 && !before {
		c.bytesWritten.Store(false)
	}
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// readers pools the read buffers of connections. Most connections are idle.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// attachReader gives the connection a read buffer for an exchange.
func (c *connection) attachReader() {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(&c.source)
}

// detachReader gives up the read buffer, which must be empty.
func (c *connection) detachReader() {
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
}

// reusable reports whether the connection is open and has no unread data. Unread data
// belongs to no request.
func (c *connection) reusable() bool { return tcp.Quiet(c.Conn) }

// ErrTooManyConns reports that the limit on connections is reached and none is idle.
var ErrTooManyConns = errors.New("too many connections are open")

// ConnLimit limits the connections of several clients together, in use and idle. Beyond it,
// the connection that has been idle the longest is closed.
type ConnLimit struct {
	max  int
	mu   sync.Mutex
	open int
	idle list.List // of *connection, the most recently used one last
}

// NewConnLimit returns a limit of n connections.
func NewConnLimit(n int) *ConnLimit { return &ConnLimit{max: n} }

// acquire counts a connection that is about to be dialled, and reports whether it may be.
func (l *ConnLimit) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.max {
		front := l.idle.Front()
		if front == nil {
			return false
		}
		oldest := front.Value.(*connection)
		oldest.owner.remove(oldest, slices.Index(oldest.owner.idle, oldest))
		_ = oldest.Conn.Close()
		oldest.counted.Store(false)
		l.open--
	}
	l.open++
	return true
}

func (l *ConnLimit) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// Close closes the connection and no longer counts it.
func (c *connection) Close() error {
	err := c.Conn.Close()
	if c.counted.CompareAndSwap(true, false) {
		c.limit.release()
	}
	return err
}

// pool holds the idle connections of one client, the most recently used one last. The limit's
// mutex guards them.
type pool struct {
	limit *ConnLimit
	idle  []*connection
}

// get returns an idle connection that can be reused, or nil if there is none.
func (p *pool) get(now time.Time) *connection {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.reuseDeadline) && c.reusable() {
			c.bytesWritten.Store(false)
			c.attachReader()
			return c
		}
		_ = c.Close()
	}
}

// pop removes and returns the most recently used connection, or nil.
func (p *pool) pop() *connection {
	p.limit.mu.Lock()
	defer p.limit.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.remove(c, n-1)
	return c
}

// remove removes the idle connection at an index.
func (p *pool) remove(c *connection, i int) {
	p.idle = slices.Delete(p.idle, i, i+1)
	p.limit.idle.Remove(c.position)
	c.position = nil
}

// put adds an idle connection. It closes this client's oldest connections while they have
// expired, and the oldest of all clients while there are too many.
func (p *pool) put(now time.Time, c *connection) {
	l := p.limit
	l.mu.Lock()
	var closing []*connection
	for len(p.idle) > 0 && !now.Before(p.idle[0].reuseDeadline) {
		closing = append(closing, p.idle[0])
		p.remove(p.idle[0], 0)
	}
	for l.idle.Len() > 0 && l.idle.Len() >= l.max {
		oldest := l.idle.Front().Value.(*connection)
		closing = append(closing, oldest)
		oldest.owner.remove(oldest, slices.Index(oldest.owner.idle, oldest))
	}
	c.owner, c.position = p, l.idle.PushBack(c)
	p.idle = append(p.idle, c)
	l.mu.Unlock()
	for _, old := range closing {
		_ = old.Close()
	}
}

// idleTimeout returns how long a connection may be reused after a response, or 0 if it
// must be closed.
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

// responseBody is the body of a response. Closing it returns the connection to the pool
// if the body was read to its end.
type responseBody struct {
	io.ReadCloser
	conn        *connection
	pool        *pool
	idleTimeout time.Duration
	written     <-chan struct{} // see RequestWritten
	closed      bool
	sawEOF      bool
}

// Read reads from the body. It returns io.EOF only at the end of a complete body.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.closed {
		return 0, http.ErrBodyReadAfterClose // the buffer may belong to another connection
	}
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.sawEOF = true
	}
	return n, err
}

// Close returns the connection to the pool if the request was not cancelled and was
// written completely, the response was read completely, and no data follows it.
// Otherwise it closes the connection, with a reset if the exchange is incomplete.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	c := b.conn
	if !c.stopCancel() || !b.sawEOF || !c.requestWritten() {
		return c.abort()
	}
	if b.idleTimeout <= 0 || c.reader.Buffered() > 0 {
		return c.Close()
	}
	now := time.Now()
	c.detachReader()
	c.reuseDeadline = now.Add(b.idleTimeout)
	b.pool.put(now, c)
	return nil
}

// closedChannel is the result of RequestWritten for a request that was written before its
// response was read.
var closedChannel = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// RequestWritten returns a channel that is closed once the request has been written or has
// failed. A target may respond before it has read the request: the response may end first.
func (b *responseBody) RequestWritten() <-chan struct{} { return b.written }

// abort closes the connection with a reset. An ordinary end would follow the bytes that the peer
// has not read yet, so that it would not learn that the request is cancelled.
func (c *connection) abort() error {
	tcp.ResetOnClose(c.Conn)
	return c.Close()
}

// requestWritten reports whether the request has been written completely.
func (c *connection) requestWritten() bool {
	if c.written == nil {
		return true
	}
	select {
	case <-c.written:
		ok := c.writeErr == nil
		c.written, c.writeErr = nil, nil
		return ok
	default:
		return false
	}
}
