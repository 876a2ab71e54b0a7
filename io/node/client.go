package node

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 300 * time.Millisecond
	// A connection that is silent for pingAfter is pinged, and closed when no
	// answer comes within pingTimeout: a call that waits on a dead one has time left
	// to be sent elsewhere.
	pingAfter   = 400 * time.Millisecond
	pingTimeout = 600 * time.Millisecond
	idleTimeout = 90 * time.Second
	// streamWindow and connWindow are how much of answers may be in flight.
	streamWindow = 1 << 20
	connWindow   = 4 << 20
)

// NewTransport returns the HTTP/2 client side towards other nodes.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		Protocols: protocols(),
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, address)
		},
		DisableCompression: true,
		IdleConnTimeout:    idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			WriteByteTimeout:              pingTimeout,
			MaxReceiveBufferPerStream:     streamWindow,
			MaxReceiveBufferPerConnection: connWindow,
		},
	}
}

// protocols allows HTTP/2 without TLS and nothing else.
func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

const maxStreams = 10000 // calls in flight on one connection

// NewServer returns the HTTP/2 server side towards other nodes.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		Protocols:         protocols(),
		ReadHeaderTimeout: 5 * time.Second,
		MaxHeaderBytes:    64 << 10,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
			SendPingTimeout:      pingAfter,
			PingTimeout:          pingTimeout,
		},
	}
}
