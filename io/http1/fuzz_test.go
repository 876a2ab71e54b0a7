package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"regexp"
	"slices"
	"testing"
)

// FuzzReadResponse reads a response from arbitrary bytes. It must not panic, read on after
// the limit, or return a status or a field that cannot be passed on.
func FuzzReadResponse(f *testing.F) {
	for _, seed := range []string{
		"", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 +20 OK\r\n\r\n", "HTTP/1.1 101 X\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nA: b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n", "junk\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nX\x01: y\r\n\r\n", "HTTP/1.1 200 OK\r\nX: y\r\n Z: z\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	c := NewClient(Config{MaxHeadBytes: 1 << 10})
	f.Fuzz(func(t *testing.T, text []byte) {
		conn := &connection{source: limitedReader{Reader: bytes.NewReader(text)}}
		conn.reader = bufio.NewReader(&conn.source)
		res, err := c.readFinalResponse(conn, &http.Request{Method: http.MethodGet}) //nolint:bodyclose // closed below
		if err != nil {
			if conn.source.remaining < 0 {
				t.Errorf("read %d bytes past the limit", -conn.source.remaining)
			}
			return
		}
		if res.StatusCode < http.StatusOK || res.StatusCode > maxStatus {
			t.Errorf("returned status %d", res.StatusCode)
		}
		defer func() { _ = res.Body.Close() }()
		for name, values := range res.Header {
			if !validName.MatchString(name) || slices.ContainsFunc(values, func(v string) bool { return controlByte.MatchString(v) }) {
				t.Errorf("returned the field %q with values %q", name, values)
			}
		}
		if held, bound := headerBytes(res.Header), fieldBytes*(c.MaxHeadBytes+conn.reader.Size()); held > bound {
			t.Errorf("the headers hold %d bytes, more than %d", held, bound)
		}
		n, err := io.Copy(io.Discard, res.Body)
		if err == nil && res.ContentLength >= 0 && n != res.ContentLength {
			t.Errorf("a body of %d bytes has %d without an error", res.ContentLength, n)
		}
		if errors.Is(err, ErrHeadTooLarge) {
			t.Error("the limit on the head was applied to the body")
		}
	})
}

// validName is a token (RFC 9110, section 5.6.2), controlByte a byte that no value may have.
var (
	validName   = regexp.MustCompile("^[-!#$%&'*+.^_`|~0-9A-Za-z]+$")
	controlByte = regexp.MustCompile(`[\x00-\x08\x0a-\x1f\x7f]`)
)

// fieldBytes is the memory of a header field beside its text: a map entry, a slice and strings.
const fieldBytes = 112

// headerBytes estimates the memory of headers.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		n += len(name)
		for _, v := range values {
			n += len(v) + fieldBytes
		}
	}
	return n
}
