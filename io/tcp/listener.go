package tcp

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// backlogTime is how long a draining listener still accepts connections. It is enough to
	// accept those that the kernel has completed, whose requests may have arrived.
	backlogTime = 50 * time.Millisecond
	// settleInterval is the interval at which Drain checks connections that are being read.
	settleInterval = 5 * time.Millisecond
	// Accept is called again after a transient error, such as too many open files, with a
	// delay that doubles from the first to the second value.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// Limits are the operators' limits on requests. A zero value sets no limit.
type Limits struct {
	HeaderBytes   int           // headers of a request, in bytes
	HeaderTimeout time.Duration // from the first byte of a request to the end of its headers
	IdleTimeout   time.Duration // between requests
}

// Ending says why a listener ended a connection by itself.
type Ending string

// Endings of connections, in the order in which they are chosen.
const (
	EndedIdle     Ending = "idle"      // evicted between requests
	EndedHead     Ending = "head"      // evicted with an incomplete request head
	EndedBody     Ending = "body"      // evicted while the rest of a body did not come
	EndedUnread   Ending = "unread"    // evicted while its response was not read
	EndedRefused  Ending = "refused"   // refused as the share is exhausted
	EndedAddress  Ending = "address"   // refused as one client address holds most of the share
	EndedHeadSize Ending = "head-size" // headers beyond the limit
	EndedHeadTime Ending = "head-time" // headers not complete in time
	EndedHeadRoom Ending = "head-room" // no memory for its headers
	AcceptFailed  Ending = "accept"    // not accepted: a transient error
)

// Endings lists all endings.
var Endings = []Ending{EndedIdle, EndedHead, EndedBody, EndedUnread, EndedRefused, EndedAddress, EndedHeadSize, EndedHeadTime, EndedHeadRoom, AcceptFailed}

// Observer receives the connections that a listener ended by itself. Its method must not
// block. The address and the error may be zero.
type Observer interface {
	ConnEnded(why Ending, from netip.Addr, err error)
}

// ListenerConfig holds the parameters of a Listener.
type ListenerConfig struct {
	Address netip.AddrPort
	// MaxConns limits the open connections, 0 for no limit. A further connection replaces
	// one that holds no complete request, or is refused; see evict.
	MaxConns int
	// MinIdle is how long a connection must have been idle to be replaced. A client that reuses
	// a connection while it is closed does not know whether its request has run.
	MinIdle time.Duration
	// MaxRefused limits the connections that are being refused with the Refusal. Further
	// ones are closed.
	MaxRefused int
	// MaxHeadBytes limits the memory of the request heads on all connections together, as
	// estimated by headMeter, in bytes. 0 sets no limit.
	MaxHeadBytes int
	// Refusal is the HTTP response on a connection that is refused.
	Refusal string
	// Limits returns the limits on the next request; nil for none.
	Limits func() Limits
	// Messages says that connections do not carry HTTP requests. They count as idle since
	// they were last read.
	Messages bool
	Observer Observer // nil for none
}

// Listener accepts connections for an http.Server and can drain them: unlike
// http.Server.Shutdown it cuts off no connection on which a request has arrived. It ends
// connections when their number or the memory of their request heads reaches a limit.
type Listener struct {
	*net.TCPListener
	ListenerConfig
	accept   func() (*net.TCPConn, error)
	refusing atomic.Int32
	mu       sync.Mutex // guards the fields below, and the state of the connections
	draining bool
	closed   bool
	conns    map[*serverConn]struct{}
	phases   [phaseCount]connList
	sources  sources
	headHeld int // memory of request heads, in bytes
}

// Listen listens on an address.
func Listen(ctx context.Context, c ListenerConfig) (*Listener, error) {
	l, err := newListenConfig().Listen(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", c.Address, err)
	}
	listener := l.(*net.TCPListener)
	return &Listener{
		TCPListener: listener, ListenerConfig: c, accept: listener.AcceptTCP,
		conns: map[*serverConn]struct{}{}, sources: sources{counts: map[netip.Addr]int{}},
	}, nil
}

// Accept returns the next connection. It waits after a transient error, such as too many
// open files, and accepts again. After Drain it returns net.ErrClosed once the connections
// that had arrived are accepted. Errors are not wrapped, because net/http recognizes a
// temporary error only by its type.
func (l *Listener) Accept() (net.Conn, error) {
	delay := minAcceptDelay
	for {
		raw, err := l.accept()
		if err == nil {
			delay = minAcceptDelay
			if c := l.admit(raw); c != nil {
				return c, nil
			}
			continue
		}
		if final := l.finalError(err); final != nil {
			return nil, final
		}
		l.ended(AcceptFailed, netip.Addr{}, err)
		if isDescriptorShortage(err) {
			l.mu.Lock()
			l.evict(time.Now(), anyAddress)
			l.mu.Unlock()
		}
		time.Sleep(delay)
		delay = min(2*delay, maxAcceptDelay)
	}
}

// finalError returns the error with which Accept ends, or nil after a transient error.
func (l *Listener) finalError(err error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining && errors.Is(err, os.ErrDeadlineExceeded) {
		l.closed = true
		_ = l.TCPListener.Close()
		return net.ErrClosed
	}
	if l.closed || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.EBADF) {
		return err
	}
	return nil
}

func isDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}

func (l *Listener) ended(why Ending, from netip.Addr, err error) {
	if l.Observer != nil {
		l.Observer.ConnEnded(why, from, err)
	}
}

// Close closes the listener. It may be called more than once: a server also closes the
// listener that Drain has closed.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	return l.TCPListener.Close()
}

// ConnState records the state of a connection. It must be the ConnState function of the
// server, whose connections Drain otherwise takes for idle.
func (l *Listener) ConnState(c net.Conn, s http.ConnState) {
	if c, ok := c.(*serverConn); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.setState(s)
	}
}

// Drain accepts the connections that have arrived and no others, ends the idle ones, and
// waits until the server has taken up the requests that are being read, or the context is
// done. The server's Shutdown then waits for their responses.
func (l *Listener) Drain(ctx context.Context) error {
	l.mu.Lock()
	l.draining = true
	err := l.SetDeadline(time.Now().Add(backlogTime))
	l.mu.Unlock()
	if err != nil {
		return fmt.Errorf("drain listener: %w", err)
	}
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for start := time.Now(); ; {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("drain listener: %w", ctx.Err())
		}
		if time.Since(start) > backlogTime && l.endIdle() == 0 {
			return nil
		}
	}
}

// endIdle ends the idle connections and returns the number of those on which a request is
// being read that the server has not taken up.
func (l *Listener) endIdle() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending := 0
	for c := range l.conns {
		if !c.endIfIdle() {
			pending++
		}
	}
	return pending
}
