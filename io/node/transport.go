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
	// A connection that has received nothing for pingIdleTime is pinged, and closed if
	// no response arrives within pingTimeout. A call on a dead connection then still has
	// time to be sent to another node.
	pingIdleTime = 400 * time.Millisecond
	pingTimeout  = 600 * time.Millisecond
	idleTimeout  = 90 * time.Second
	// streamWindowBytes and connWindowBytes are the flow control windows for responses.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20
)

// NewHTTP2Transport returns the HTTP/2 client for calls to other nodes, which receives the
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

// http2Transport distinguishes requests that got no connection from requests that the
// other node may have read.
type http2Transport struct{ http.Transport }

// RoundTrip sends a request. It returns http1.ErrNotSent if it got no connection.
func (m *http2Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	res, err := m.Transport.RoundTrip(req.WithContext(ctx))
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", http1.ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	if err := http1.CheckStatus(res.StatusCode); err != nil {
		_ = res.Body.Close()
		return nil, err
	}
	return res, nil
}

// HTTP1Transport sends requests to other nodes over HTTP/1.1. It uses less CPU time than
// HTTP/2, but does not receive the outcomes of calls.
type HTTP1Transport struct {
	conns   *http1.ConnLimit
	mu      sync.Mutex
	clients map[string]*http1.Client // by address
}

// NewHTTP1Transport returns the HTTP/1.1 client for calls to other nodes, with a limit on
// connections that it may share with other clients.
func NewHTTP1Transport(conns *http1.ConnLimit) *HTTP1Transport {
	return &HTTP1Transport{conns: conns, clients: map[string]*http1.Client{}}
}

// RoundTrip sends a request to the node at the address in its URL. After any error but
// http1.ErrNotSent the node may have read the request.
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
		return nil, fmt.Errorf("parse node address: %w", err)
	}
	c := http1.NewClient(http1.Config{Address: address, DialTimeout: dialTimeout, Conns: t.conns})
	t.clients[host] = c
	return c, nil
}

// http2Only enables only HTTP/2 without TLS.
func http2Only() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

// http1AndHTTP2 enables the protocols of both clients.
func http1AndHTTP2() *http.Protocols {
	p := http2Only()
	p.SetHTTP1(true)
	return p
}

const maxConcurrentStreams = 10000 // calls in progress on one connection

// NewServer returns the server for calls from other nodes.
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
