package standin

import (
	"bufio"
	"net"
	"net/http"
)

// rawReadBytes is the size of the buffer for the head of a request. What it holds of the body is
// read ahead, so that it is small.
const rawReadBytes = 16

// ServeRaw accepts connections until the listener is closed. On each it reads the head of one
// request and closes the connection after respond, which writes any bytes as the response. The
// body of the request is still unread: if it stays so, the kernel resets the connection.
func ServeRaw(l net.Listener, respond func(c *net.TCPConn, req *http.Request)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = c.Close() }()
			if req, err := http.ReadRequest(bufio.NewReaderSize(c, rawReadBytes)); err == nil {
				respond(c.(*net.TCPConn), req)
			}
		}()
	}
}
