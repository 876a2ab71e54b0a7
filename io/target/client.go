package target

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 60 * time.Second
	// maxIdle keeps the connections of a whole burst; each new one costs the
	// target about a millisecond.
	maxIdle = 1024
)

// NewTransport returns the HTTP/1.1 client side towards the local target. It
// follows no redirects and never sends a request twice by itself, as long as
// requests come through Single.
func NewTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		DisableCompression:  true,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
	}
}
