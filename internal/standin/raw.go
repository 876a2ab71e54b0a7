package standin

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
)

// rawReadBytes is the size of the buffer for the head of a request. What it holds of the body is
// read ahead, so that it is small.
const rawReadBytes = 16

// StartRaw starts a server on loopback that works until the context is done, and returns its address.
// On each connection it reads the head of one request and closes the connection after respond, which
// writes any bytes as the response. The body of the request is still unread: if it stays so, the
// kernel resets the connection.
func StartRaw(ctx context.Context, respond func(c *net.TCPConn, req *http.Request)) (netip.AddrPort, error) {
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("listen: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go serveRaw(l, respond)
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func serveRaw(l *net.TCPListener, respond func(c *net.TCPConn, req *http.Request)) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			if req, err := http.ReadRequest(bufio.NewReaderSize(c, rawReadBytes)); err == nil {
				respond(c, req)
			}
		}()
	}
}
