package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

const (
	minStatus = 100
	maxStatus = 599
)

// ErrInvalidStatus reports a status code that no response to the request can have.
var ErrInvalidStatus = errors.New("invalid status code")

// ErrInvalidField reports a line in the head of a response that is no field of HTTP/1.1.
var ErrInvalidField = errors.New("invalid header field")

// ErrInvalidVersion reports a response of another major version of HTTP.
var ErrInvalidVersion = errors.New("invalid HTTP version")

// readResponseHead reads and checks the head of a response.
func readResponseHead(conn *connection, req *http.Request) (*http.Response, error) {
	buffered, _ := conn.reader.Peek(conn.reader.Buffered())
	scanner := &conn.source.scanner
	*scanner = headScanner{}
	scanner.scan(buffered)
	res, err := http.ReadResponse(conn.reader, req)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(res.StatusCode); err != nil {
		return nil, err
	}
	switch {
	case res.ProtoMajor != 1:
		return nil, fmt.Errorf("%w: %q", ErrInvalidVersion, res.Proto)
	case scanner.folded:
		return nil, fmt.Errorf("%w: line begins with white space", ErrInvalidField)
	case scanner.encoded && !res.ProtoAtLeast(1, 1):
		return nil, fmt.Errorf("%w: Transfer-Encoding in %s", ErrInvalidField, res.Proto)
	}
	if err := CheckFields(res.Header); err != nil {
		return nil, err
	}
	return res, nil
}

// CheckStatus returns an error that wraps ErrInvalidStatus if a status code is outside the classes of
// HTTP, which net/http does not check, or switches protocols, which no request asks for.
func CheckStatus(code int) error {
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %d", ErrInvalidStatus, code)
	}
	return nil
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

// encodingField begins the line of a Transfer-Encoding field, in lower case.
const encodingField = "transfer-encoding:"

// headScanner detects in the bytes of a head what the parsed head does not show.
type headScanner struct {
	// folded is set if a line begins with white space. net/http adds such a line to the value of
	// the field before it. As a name that follows a space by mistake looks the same, the response
	// is rejected, which a proxy may do (RFC 9112, section 5.2).
	folded bool
	// encoded is set if there is a Transfer-Encoding field. net/http ignores it in HTTP/1.0, where
	// it makes the framing faulty (RFC 9112, section 6.1).
	encoded bool

	lineStart bool // the next byte begins a line after the first one
	matched   int  // bytes of encodingField with which the line begins, -1 if it differs
	ended     bool // the head is complete
}

// scan continues with the next bytes. It ignores those after the end of the head.
func (s *headScanner) scan(p []byte) {
	for len(p) > 0 && !s.ended {
		if s.lineStart {
			s.matched = 0
			switch p[0] {
			case '\r': // of an empty line
				p = p[1:]
				continue
			case '\n':
				s.ended = true
			case ' ', '\t':
				s.folded = true
			}
		}
		s.matchEncoding(p)
		end := bytes.IndexByte(p, '\n')
		if s.lineStart = end >= 0; !s.lineStart {
			return
		}
		p = p[end+1:]
	}
}

// matchEncoding compares the next bytes of a line with encodingField.
func (s *headScanner) matchEncoding(p []byte) {
	for i := 0; i < len(p) && s.matched >= 0 && s.matched < len(encodingField); i++ {
		const lowerCase = 0x20
		if p[i]|lowerCase != encodingField[s.matched] {
			s.matched = -1
			return
		}
		s.matched++
	}
	s.encoded = s.encoded || s.matched == len(encodingField)
}
