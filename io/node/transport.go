package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"celeryshelf/io/http1"
)

const (
	dialTimeout = 300 * time.Millisecond
	// A connection that is silent for pingIdleTime is pinged, and closed when no
	// answer comes within pingTimeout: a call that waits on a dead one has time left
	// to be sent elsewhere.
	pingIdleTime = 400 * time.Millisecond
	pingTimeout  = 600 * time.Millisecond
	idleTimeout  = 90 * time.Second
	// streamWindowBytes and connWindow are how much of answers may be in flight.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20
)

// NewHTTP2Transport returns the HTTP/2 client side towards other nodes, which carries the
// outcomes of calls in trailers.
func NewHTTP2Transport() http.RoundTripper {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http2Transport{http.Transport{
		Protocols: http2Only(),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingIdleTime,
			PingTimeout:                   pingTimeout,
			WriteByteTimeout:              pingTimeout,
			MaxReceiveBufferPerStream:     streamWindowBytes,
			MaxReceiveBufferPerConnection: connWindowBytes,
		},
	}}
}

// http2Transport tells requests that found no connection from those that may have been read.
type http2Transport struct{ http.Transport }

// RoundTrip fails with http1.ErrNotSent if there was no connection.
func (m *http2Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	res, err := m.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", http1.ErrNotSent, err)
	}
	return res, err
}

// HTTP1Transport sends requests to other nodes over HTTP/1.1. Beside the HTTP/2 side it costs
// a node less processor time, and carries no outcomes of calls.
type HTTP1Transport struct {
	mu      sync.Mutex
	clients map[string]*http1.Client // by address
}

// NewHTTP1Transport returns an HTTP/1.1 client side towards other nodes.
func NewHTTP1Transport() *HTTP1Transport { return &HTTP1Transport{clients: map[string]*http1.Client{}} }

// RoundTrip sends a request to the node that its URL names. After any error but
// http1.ErrNotSent the node may have read it.
func (t *HTTP1Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	c, err := t.client(req.URL.Host)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", http1.ErrNotSent, err)
	}
	return c.RoundTrip(req)
}

func (t *HTTP1Transport) client(host string) (*http1.Client, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c, ok := t.clients[host]; ok {
		return c, nil
	}
	address, err := netip.ParseAddrPort(host)
	if err != nil {
		return nil, fmt.Errorf("address of a node: %w", err)
	}
	c := http1.NewClient(http1.Config{Address: address, DialTimeout: dialTimeout})
	t.clients[host] = c
	return c, nil
}

// http2Only allows HTTP/2 without TLS and nothing else.
func http2Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// http1AndHTTP2 are the protocols of both client sides.
func http1AndHTTP2() *http.Protocols {
	p := http2Only()
	p.SetHTTP1(true)
	return p
}

const maxConcurrentStreams = 10000 // calls in flight on one connection

// NewServer returns the server side towards other nodes.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		Protocols:         http1AndHTTP2(),
		ReadHeaderTimeout: 5 * time.Second,
		MaxHeaderBytes:    64 << 10,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams,
			SendPingTimeout:      pingIdleTime,
			PingTimeout:          pingTimeout,
		},
	}
}
