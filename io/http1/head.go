package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalidField reports a line in the head of a response that is no field of HTTP/1.1.
var ErrInvalidField = errors.New("invalid header field")

// ErrInvalidVersion reports a response of another major version of HTTP.
var ErrInvalidVersion = errors.New("invalid HTTP version")

// readResponseHead reads and checks the head of a response.
func readResponseHead(conn *connection, req *http.Request) (*http.Response, error) {
	buffered, _ := conn.reader.Peek(conn.reader.Buffered())
	conn.source.folds = foldDetector{}
	conn.source.folds.scan(buffered)
	res, err := http.ReadResponse(conn.reader, req)
	switch {
	case err != nil:
		return nil, err
	case res.StatusCode < minStatus || res.StatusCode > maxStatus || res.StatusCode == http.StatusSwitchingProtocols:
		return nil, fmt.Errorf("%w: %d", ErrInvalidStatus, res.StatusCode)
	case res.ProtoMajor != 1:
		return nil, fmt.Errorf("%w: %q", ErrInvalidVersion, res.Proto)
	case conn.source.folds.found:
		return nil, fmt.Errorf("%w: line begins with white space", ErrInvalidField)
	}
	if err := CheckFields(res.Header); err != nil {
		return nil, err
	}
	return res, nil
}

// CheckFields returns an error that wraps ErrInvalidField if the name of a field holds a space.
// net/http accepts it as the name of another field, so that the line does not frame the body. It
// rejects every other byte that a name must not have.
func CheckFields(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: space in the name %q", ErrInvalidField, name)
		}
	}
	return nil
}

// foldDetector detects lines in a head that begin with white space. net/http adds such a line to
// the value of the field before it. As a name that follows a space by mistake looks the same, the
// response is rejected, which a proxy may do (RFC 9112, section 5.2).
type foldDetector struct {
	lineStart bool // the next byte begins a line after the first one
	ended     bool // the head is complete
	found     bool
}

// scan continues with the next bytes. It ignores those after the end of the head.
func (d *foldDetector) scan(p []byte) {
	for len(p) > 0 && !d.ended {
		if d.lineStart {
			switch p[0] {
			case '\r': // of an empty line
				p = p[1:]
				continue
			case '\n':
				d.ended = true
			case ' ', '\t':
				d.found = true
			}
		}
		end := bytes.IndexByte(p, '\n')
		if d.lineStart = end >= 0; !d.lineStart {
			return
		}
		p = p[end+1:]
	}
}
