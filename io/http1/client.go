package http1

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"celeryshelf/io/tcp"
)

// ErrNotSent reports that no byte of the request was sent.
var ErrNotSent = errors.New("request was not sent")

// ErrHeadTooLarge reports that the head of a response, with the interim responses before
// it, exceeds Config.MaxHeadBytes.
var ErrHeadTooLarge = errors.New("response head is too large")

// ErrResponseMismatch reports that a response belongs to an earlier request on the
// connection. The response to the current request may follow it.
var ErrResponseMismatch = errors.New("response belongs to another request")

const (
	// maxMismatchedResponses is the number of responses to earlier requests that are
	// skipped before a request fails and its connection is closed.
	maxMismatchedResponses = 2
	// maxSkippedBodyBytes limits how much is read of the body of a skipped response.
	maxSkippedBodyBytes = 256 << 10
	// DefaultMaxHeadBytes is the limit on a response head if Config.MaxHeadBytes is 0.
	DefaultMaxHeadBytes = 64 << 10
	// maxInterimResponses is the number of interim (1xx) responses that may precede a
	// response.
	maxInterimResponses = 8
)

// ResponseVerifier checks that a response belongs to its request. It returns an error
// that wraps ErrResponseMismatch if the response belongs to another request. Once the connection
// has carried another response, used is set: a response that does not identify its request
// may then be a copy of that one.
type ResponseVerifier interface {
	Verify(req *http.Request, res *http.Response, used bool) error
}

// Config holds the parameters of a Client.
type Config struct {
	Address     netip.AddrPort
	Verifier    ResponseVerifier // nil if responses do not identify their requests
	DialTimeout time.Duration    // 0 for the default of package tcp
	// MaxHeadBytes limits the size of a response head, with the interim responses before
	// it, in bytes. 0 stands for DefaultMaxHeadBytes.
	MaxHeadBytes int
	// Conns limits the connections of this and other clients, nil for a limit of its own.
	Conns *ConnLimit
}

// Client sends requests to one address. It never retries a request.
type Client struct {
	Config
	pool   pool
	dialer *tcp.Dialer
}

// NewClient returns a client.
func NewClient(c Config) *Client {
	client := &Client{Config: c, dialer: tcp.NewDialer()}
	if c.DialTimeout > 0 {
		client.dialer.Timeout = c.DialTimeout
	}
	if c.Conns == nil {
		client.Conns = NewConnLimit(maxConns)
	}
	client.pool.limit = client.Conns
	if c.MaxHeadBytes == 0 {
		client.MaxHeadBytes = DefaultMaxHeadBytes
	}
	return client
}

// RoundTrip sends a request and returns its response, whose body is still to be read.
// After any error but ErrNotSent the request may have been executed.
func (c *Client) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := req.Context()
	conn, err := c.connect(ctx)
	if err != nil {
		return nil, err
	}
	conn.stopCancel = context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	res, err := c.exchange(conn, req)
	if err != nil {
		conn.stopCancel()
		_ = conn.abort()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		if !conn.bytesWritten.Load() {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	return res, nil
}

// connect returns an idle connection from the pool or dials a new one.
func (c *Client) connect(ctx context.Context) (*connection, error) {
	if conn := c.pool.get(time.Now()); conn != nil {
		return conn, nil
	}
	if !c.Conns.acquire() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrTooManyConns)
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		c.Conns.release()
		return nil, fmt.Errorf("%w: dial: %w", ErrNotSent, err)
	}
	conn := &connection{Conn: raw, source: limitedReader{Reader: raw}, limit: c.Conns}
	conn.counted.Store(true)
	conn.attachReader()
	return conn, nil
}

// exchange writes a request and reads the head of its response. A body that may not fit
// into the socket buffers is written while the response is read.
func (c *Client) exchange(conn *connection, req *http.Request) (*http.Response, error) {
	if req.Body == nil || req.ContentLength >= 0 && req.ContentLength <= maxInlineBodyBytes {
		if err := conn.writeRequest(req); err != nil {
			return nil, err
		}
	} else {
		written := make(chan struct{})
		conn.written = written
		go func() {
			defer close(written)
			conn.writeErr = conn.writeRequest(req)
			if conn.writeErr != nil && !conn.writeFailed.Load() {
				// The target will not respond to an incomplete request. If the target does
				// not read on, it may have responded before.
				_ = conn.SetDeadline(time.Unix(1, 0))
			}
		}()
	}
	res, err := c.readResponse(conn, req)
	if err != nil {
		return nil, err
	}
	body := &responseBody{ReadCloser: res.Body, conn: conn, pool: &c.pool, idleTimeout: idleTimeout(res), written: conn.written, sawEOF: res.ContentLength == 0}
	if body.written == nil {
		body.written = closedChannel
	}
	res.Body = body
	return res, nil
}

// readResponse reads the head of the response to a request and skips responses to
// earlier requests.
func (c *Client) readResponse(conn *connection, req *http.Request) (*http.Response, error) {
	for range maxMismatchedResponses + 1 {
		used := conn.used
		conn.used = true
		res, err := c.readFinalResponse(conn, req)
		if err != nil {
			return nil, fmt.Errorf("read response: %w", err)
		}
		if c.Verifier == nil {
			return res, nil
		}
		err = c.Verifier.Verify(req, res, used)
		if err == nil {
			return res, nil
		}
		if !errors.Is(err, ErrResponseMismatch) || res.Close {
			return nil, err
		}
		n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBodyBytes+1))
		if err != nil {
			return nil, fmt.Errorf("discard response to another request: %w", err)
		}
		if n > maxSkippedBodyBytes {
			return nil, fmt.Errorf("%w: its body has more than %d bytes", ErrResponseMismatch, maxSkippedBodyBytes)
		}
	}
	return nil, ErrResponseMismatch
}

// readFinalResponse reads the head of a response and skips interim (1xx) responses. A
// target may send bytes without end, so what is read until the head is complete is limited.
func (c *Client) readFinalResponse(conn *connection, req *http.Request) (*http.Response, error) {
	conn.source.limit(c.MaxHeadBytes + conn.reader.Size())
	defer conn.source.unlimit()
	for range maxInterimResponses + 1 {
		res, err := readResponseHead(conn, req)
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
	return nil, fmt.Errorf("more than %d interim responses: %w", maxInterimResponses, ErrHeadTooLarge)
}
