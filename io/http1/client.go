package http1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"time"

	"celeryshelf/io/tcp"
)

// ErrNotSent says that no byte of a request has left.
var ErrNotSent = errors.New("request was not sent")

// ErrResponseMismatch says that an answer belongs to another request on the connection; the
// right one may follow it.
var ErrResponseMismatch = errors.New("answer to another request")

const (
	// maxMismatchedResponses is how many answers to earlier requests are skipped on one
	// connection before it is given up.
	maxMismatchedResponses = 2
	// maxSkippedBodyBytes bounds the body of an answer that is skipped, in bytes.
	maxSkippedBodyBytes = 256 << 10
)

// ResponseVerifier checks that an answer belongs to its request; it returns ErrStale for
// one that belongs to another.
type ResponseVerifier interface {
	Verify(req *http.Request, res *http.Response) error
}

// Config holds what a Client is made of.
type Config struct {
	Address     netip.AddrPort
	Verifier    ResponseVerifier // nil if answers do not name their requests
	DialTimeout time.Duration    // bounds the set-up of a connection, 0 for the default
}

// Client sends requests to one address, each of them once.
type Client struct {
	Config
	pool   pool
	dialer *net.Dialer
}

// NewClient returns a client.
func NewClient(c Config) *Client {
	client := &Client{Config: c, dialer: tcp.NewDialer()}
	if c.DialTimeout > 0 {
		client.dialer.Timeout = c.DialTimeout
	}
	return client
}

// RoundTrip sends a request and returns the head of its answer. After any error
// but ErrNotSent the request may have run.
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
		_ = conn.Close()
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

func (c *Client) connect(ctx context.Context) (*connection, error) {
	if conn := c.pool.get(time.Now()); conn != nil {
		return conn, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", c.Address.String())
	if err != nil {
		return nil, fmt.Errorf("%w: dial: %w", ErrNotSent, err)
	}
	conn := &connection{Conn: raw}
	conn.reader = bufio.NewReader(raw)
	return conn, nil
}

// exchange writes the request, beside reading the answer if its body is not at hand.
func (c *Client) exchange(conn *connection, req *http.Request) (*http.Response, error) {
	if req.Body == nil || req.ContentLength >= 0 && req.ContentLength <= maxInlineBodyBytes {
		if err := conn.writeRequest(req); err != nil {
			return nil, err
		}
	} else {
		conn.writeResult = make(chan error, 1)
		go func() {
			err := conn.writeRequest(req)
			if err != nil {
				// Nothing will be answered to half a request.
				_ = conn.SetDeadline(time.Unix(1, 0))
			}
			conn.writeResult <- err
		}()
	}
	res, err := c.readResponse(conn, req)
	if err != nil {
		return nil, err
	}
	res.Body = &responseBody{ReadCloser: res.Body, conn: conn, pool: &c.pool, idleTimeout: idleTimeout(res), sawEOF: res.ContentLength == 0}
	return res, nil
}

// readResponse reads the head of the readResponse to a request, past answers to others.
func (c *Client) readResponse(conn *connection, req *http.Request) (*http.Response, error) {
	for range maxMismatchedResponses + 1 {
		res, err := readFinalResponse(conn.reader, req)
		if err != nil {
			return nil, fmt.Errorf("read answer: %w", err)
		}
		if c.Verifier == nil {
			return res, nil
		}
		err = c.Verifier.Verify(req, res)
		if err == nil {
			return res, nil
		}
		if !errors.Is(err, ErrResponseMismatch) || res.Close {
			return nil, err
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBodyBytes)); err != nil {
			return nil, fmt.Errorf("skip answer: %w", err)
		}
	}
	return nil, ErrResponseMismatch
}

// readFinalResponse reads an answer's head and skips interim ones.
func readFinalResponse(r *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(r, req)
		if err != nil || res.StatusCode >= 200 || res.StatusCode == http.StatusSwitchingProtocols {
			return res, err
		}
	}
}
