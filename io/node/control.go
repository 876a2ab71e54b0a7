package node

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"celeryshelf/core"
	"celeryshelf/io/tcp"
)

const (
	// sendQueueSize is the number of messages that may be queued for a peer. Further
	// messages are dropped.
	sendQueueSize = 1024
	ackTimeout    = 1 * time.Second
	// redialDelay prevents dialling an unreachable peer again for every message.
	redialDelay = 200 * time.Millisecond
	// idleConnTime is how long a connection to a peer is kept without a message. A node of a
	// large fleet sends to each of most peers once in minutes.
	idleConnTime = 5 * time.Second
)

// Sink receives messages from peers and the reachability of peers. Post must not block
// for long.
type Sink interface {
	Post(e core.Event) bool
}

// ByteCounter counts the bytes in the bodies of sent control messages.
type ByteCounter interface {
	AddSentBytes(bytes int)
}

// ControlTransportConfig holds the parameters of a ControlTransport.
type ControlTransportConfig struct {
	Name      string // name of this node
	BytesSent ByteCounter
	// MaxConns limits the connections that are dialled, 0 for no limit. Beyond it messages
	// to further peers are dropped.
	MaxConns int
	// MaxReadBytes and MaxSentBytes limit the memory of the messages that are being read and
	// sent, in bytes, 0 for no limit. A message that has to wait too long is not sent.
	MaxReadBytes, MaxSentBytes int
}

// ControlTransport sends control messages to peers and receives theirs.
type ControlTransport struct {
	ControlTransportConfig
	sink    Sink
	ctx     context.Context
	reading *messageLimit
	sending *sendLimit
	mu      sync.Mutex
	peers   map[netip.AddrPort]*peer
	senders sync.WaitGroup
}

// peer is the send queue and the connection for one address. Only its sender uses conn
// and lastDialFailure. The transport's mutex guards queue.
type peer struct {
	address         netip.AddrPort
	queue           []core.Envelope
	wake            chan struct{} // signals that queue is no longer empty
	conn            *jsonrpc2.Conn
	lastDialFailure time.Time
}

// NewControlTransport returns a transport that works until the context is done.
func NewControlTransport(ctx context.Context, c ControlTransportConfig) *ControlTransport {
	return &ControlTransport{ControlTransportConfig: c, ctx: ctx, peers: map[netip.AddrPort]*peer{}, reading: newMessageLimit(c.MaxReadBytes), sending: newSendLimit(c.MaxSentBytes)}
}

// SetSink sets the receiver of events. It must be called once, before Serve and Send.
func (c *ControlTransport) SetSink(s Sink) { c.sink = s }

// Send queues a message, or drops it if the queue of its peer is full.
func (c *ControlTransport) Send(e core.Envelope) {
	if !e.Address.IsValid() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[e.Address]
	if !ok {
		if c.MaxConns > 0 && len(c.peers) >= c.MaxConns {
			return
		}
		p = &peer{address: e.Address, wake: make(chan struct{}, 1)}
		c.peers[e.Address] = p
		c.senders.Go(func() { c.runSender(p) })
	}
	if len(p.queue) >= sendQueueSize {
		return
	}
	p.queue = append(p.queue, e)
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// runSender sends the messages in a peer's queue, in order, until the context is done or
// there was none for idleConnTime.
func (c *ControlTransport) runSender(p *peer) {
	defer func() {
		if p.conn != nil {
			_ = p.conn.Close()
		}
	}()
	idle := time.NewTimer(idleConnTime)
	defer idle.Stop()
	for {
		select {
		case <-p.wake:
			for _, e := range c.takeQueue(p) {
				c.deliver(p, e)
			}
			idle.Reset(idleConnTime)
		case <-idle.C:
			if c.forget(p) {
				return
			}
		case <-c.ctx.Done():
			return
		}
	}
}

// takeQueue removes and returns the messages in a peer's queue.
func (c *ControlTransport) takeQueue(p *peer) []core.Envelope {
	c.mu.Lock()
	defer c.mu.Unlock()
	messages := p.queue
	p.queue = nil
	return messages
}

// forget removes a peer without messages and reports whether it did. A later message starts
// another sender.
func (c *ControlTransport) forget(p *peer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p.queue) > 0 {
		return false
	}
	delete(c.peers, p.address)
	return true
}

// deliver sends a message and reports the peer as reachable or unreachable. A message
// that is only written proves nothing about the peer, so a peer is reported as
// reachable only after it has acknowledged a Sync. Nothing is reported for a seed
// address, whose node is unknown.
func (c *ControlTransport) deliver(p *peer, e core.Envelope) {
	err := c.transmit(p, e)
	if err != nil && p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
	if e.To == "" {
		return
	}
	if _, isSync := e.Body.(*core.Sync); isSync || err != nil {
		c.sink.Post(&core.PeerReachability{Name: e.To, Reachable: err == nil})
	}
}

// transmit encodes a message and sends it: a Sync as a call, which the peer
// acknowledges, any other message as a notification.
func (c *ControlTransport) transmit(p *peer, e core.Envelope) error {
	f, err := encodeFrame(c.Name, e.Body)
	if err != nil {
		return err
	}
	if err := c.connect(p); err != nil {
		return err
	}
	method := methodOf(e.Body)
	ctx, cancel := context.WithTimeout(c.ctx, ackTimeout)
	defer cancel()
	held, err := c.sending.acquire(ctx, len(f.Body))
	if err != nil {
		return fmt.Errorf("send %s: %w", method, err)
	}
	defer c.sending.release(held)
	if c.BytesSent != nil {
		c.BytesSent.AddSentBytes(len(f.Body))
	}
	if method != methodSync {
		if err := p.conn.Notify(ctx, method, f); err != nil {
			return fmt.Errorf("notify %s: %w", method, err)
		}
		return nil
	}
	if err := p.conn.Call(ctx, method, f, nil); err != nil {
		return fmt.Errorf("call %s: %w", method, err)
	}
	return nil
}

// connect dials the peer unless its connection is open. It fails without dialling within
// redialDelay of a failed attempt.
func (c *ControlTransport) connect(p *peer) error {
	if p.conn != nil {
		select {
		case <-p.conn.DisconnectNotify():
			p.conn = nil
		default:
			return nil
		}
	}
	if time.Since(p.lastDialFailure) < redialDelay {
		return fmt.Errorf("dial %s: last attempt failed less than %s ago", p.address, redialDelay)
	}
	ctx, cancel := context.WithTimeout(c.ctx, dialTimeout)
	defer cancel()
	conn, err := tcp.NewDialer().DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		p.lastDialFailure = time.Now()
		return fmt.Errorf("dial %s: %w", p.address, err)
	}
	p.conn = c.newConn(conn)
	return nil
}

func (c *ControlTransport) newConn(conn net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(&deadlineConn{Conn: conn}, boundedCodec{conn: conn, limit: c.reading})
	return jsonrpc2.NewConn(c.ctx, stream, jsonrpc2.HandlerWithError(c.handle), jsonrpc2.SetLogger(discardLogger{}))
}

func (c *ControlTransport) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	received, err := decodeFrame(r.Method, r.Params)
	if err != nil {
		return nil, err
	}
	c.sink.Post(&received)
	return nil, nil
}

// Serve accepts connections from peers until the context is done.
func (c *ControlTransport) Serve(l net.Listener) error {
	stop := context.AfterFunc(c.ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if c.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		c.newConn(conn)
	}
}

// Wait waits until all senders have returned.
func (c *ControlTransport) Wait() { c.senders.Wait() }

// deadlineConn sets a deadline for every write, so that a peer that does not read cannot
// block its sender.
type deadlineConn struct{ net.Conn }

// Write writes to the connection, with a timeout of ackTimeout.
func (d *deadlineConn) Write(p []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(ackTimeout)); err != nil {
		return 0, fmt.Errorf("set write deadline: %w", err)
	}
	return d.Conn.Write(p)
}

// discardLogger discards the log output of jsonrpc2, whose failures are also returned as
// errors.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
