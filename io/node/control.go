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
)

const (
	// sendQueueSize is how many messages may wait for one peer before more are dropped.
	sendQueueSize = 1024
	ackTimeout    = 1 * time.Second
	// redialDelay keeps a peer that cannot be reached from being dialled for
	// every message.
	redialDelay = 200 * time.Millisecond
)

// Sink takes in what peers send; it must not block for long.
type Sink interface {
	Post(e core.Event) bool
}

// ByteCounter counts the bytes of control traffic.
type ByteCounter interface {
	AddSentBytes(bytes int)
}

// ControlTransportConfig holds what a Control is made of.
type ControlTransportConfig struct {
	Name      string
	BytesSent ByteCounter
}

// ControlTransport sends and receives control messages.
type ControlTransport struct {
	ControlTransportConfig
	sink    Sink
	ctx     context.Context
	mu      sync.Mutex
	peers   map[netip.AddrPort]*peer
	senders sync.WaitGroup
}

// peer is the sending side towards one address.
type peer struct {
	address         netip.AddrPort
	queue           chan core.Envelope
	conn            *jsonrpc2.Conn
	lastDialFailure time.Time
}

// NewControlTransport returns a control side whose senders end with the context.
func NewControlTransport(ctx context.Context, c ControlTransportConfig) *ControlTransport {
	return &ControlTransport{ControlTransportConfig: c, ctx: ctx, peers: map[netip.AddrPort]*peer{}}
}

// SetSink names the receiver of messages. It is called once, before Serve and Send.
func (c *ControlTransport) SetSink(s Sink) { c.sink = s }

// Send queues a message and drops it if its peer is too slow.
func (c *ControlTransport) Send(e core.Envelope) {
	if !e.Address.IsValid() {
		return
	}
	c.mu.Lock()
	p, ok := c.peers[e.Address]
	if !ok {
		p = &peer{address: e.Address, queue: make(chan core.Envelope, sendQueueSize)}
		c.peers[e.Address] = p
		c.senders.Go(func() { c.runSender(p) })
	}
	c.mu.Unlock()
	select {
	case p.queue <- e:
	default:
	}
}

// runSender sends a peer's messages in order until the context ends.
func (c *ControlTransport) runSender(p *peer) {
	for {
		select {
		case e := <-p.queue:
			c.deliver(p, e)
		case <-c.ctx.Done():
			if p.conn != nil {
				_ = p.conn.Close()
			}
			return
		}
	}
}

// deliver sends one message. A Sync is acknowledged, which tells a live
// connection from one that has gone silent.
func (c *ControlTransport) deliver(p *peer, e core.Envelope) {
	err := c.transmit(p, e)
	if err != nil && p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
	if e.To == "" {
		return
	}
	if _, acked := e.Body.(*core.Sync); acked || err != nil {
		c.sink.Post(&core.PeerReachability{Name: e.To, Reachable: err == nil})
	}
}

func (c *ControlTransport) transmit(p *peer, e core.Envelope) error {
	f, err := encodeFrame(c.Name, e.Body)
	if err != nil {
		return err
	}
	if err := c.connect(p); err != nil {
		return err
	}
	if c.BytesSent != nil {
		c.BytesSent.AddSentBytes(len(f.Body))
	}
	method := methodOf(e.Body)
	ctx, cancel := context.WithTimeout(c.ctx, ackTimeout)
	defer cancel()
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
		return fmt.Errorf("dial %s: paused after a failure", p.address)
	}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(c.ctx, "tcp", p.address.String())
	if err != nil {
		p.lastDialFailure = time.Now()
		return fmt.Errorf("dial %s: %w", p.address, err)
	}
	p.conn = c.newConn(conn)
	return nil
}

func (c *ControlTransport) newConn(conn net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(&deadlineConn{Conn: conn}, jsonrpc2.VarintObjectCodec{})
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

// Serve accepts connections of peers until the context ends.
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

// Wait waits until every sender has ended.
func (c *ControlTransport) Wait() { c.senders.Wait() }

// deadlineConn bounds every write, so that a peer that reads nothing cannot
// hold up its sender.
type deadlineConn struct{ net.Conn }

// Write fails after ackTimeout.
func (d *deadlineConn) Write(p []byte) (int, error) {
	if err := d.SetWriteDeadline(time.Now().Add(ackTimeout)); err != nil {
		return 0, fmt.Errorf("set deadline: %w", err)
	}
	return d.Conn.Write(p)
}

// discardLogger drops the library's own log lines; failures come back as errors.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}
