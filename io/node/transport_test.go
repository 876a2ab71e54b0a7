package node

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Parts of HTTP/2 frames (RFC 9113, section 6).
const (
	http2Preface         = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	http2FrameHeadBytes  = 9
	http2HeadersFrame    = 1
	http2SettingsFrame   = 4
	http2EndStream       = 0x1
	http2EndHeaders      = 0x4
	http2LiteralOfStatus = 0x08 // HPACK: literal field without indexing, name :status
)

// http2Frame returns a frame of a stream.
func http2Frame(kind, flags byte, stream uint32, payload string) []byte {
	head := append([]byte{0, 0, byte(len(payload)), kind, flags}, binary.BigEndian.AppendUint32(nil, stream)...)
	return append(head, payload...)
}

// respondHTTP2 reads the first request on a connection and responds with a status.
func respondHTTP2(c net.Conn, status string) error {
	in := bufio.NewReader(c)
	if _, err := in.Discard(len(http2Preface)); err != nil {
		return err
	}
	if _, err := c.Write(http2Frame(http2SettingsFrame, 0, 0, "")); err != nil {
		return err
	}
	for {
		var head [http2FrameHeadBytes]byte
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return err
		}
		if _, err := in.Discard(int(head[0])<<16 | int(head[1])<<8 | int(head[2])); err != nil {
			return err
		}
		if head[3] == http2HeadersFrame {
			fields := fmt.Sprintf("%c%c%s", http2LiteralOfStatus, len(status), status)
			_, err := c.Write(http2Frame(http2HeadersFrame, http2EndStream|http2EndHeaders, binary.BigEndian.Uint32(head[5:]), fields))
			if err != nil {
				return err
			}
		}
	}
}

// TestInvalidStatusOverHTTP2IsNoResponse guards against a status that no response can have, which
// a node could not pass on to the caller.
func TestInvalidStatusOverHTTP2IsNoResponse(t *testing.T) {
	for status, valid := range map[string]bool{"200": true, "599": true, "000": false, "020": false, "099": false, "600": false, "999": false} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				_ = respondHTTP2(c, status) // ends with the connection
			}()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/", nil)
			if err != nil {
				t.Fatal(err)
			}
			res, err := NewHTTP2Transport().RoundTrip(req)
			if err == nil {
				_ = res.Body.Close()
			}
			if (err == nil) != valid {
				t.Errorf("got response %v with error %v, want a response: %t", res, err, valid)
			}
		})
	}
}
