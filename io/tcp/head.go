package tcp

import "bytes"

const (
	// headFieldBytes is the memory of a header field beside its text: an entry of the map
	// of the request and of its copy for the next hop, a slice and two strings.
	headFieldBytes = 224
	// headTextFactor covers the copies of the text in the server's line buffer and strings.
	headTextFactor = 2
	// shortestFieldBytes is the length of the shortest header line, "a:\n".
	shortestFieldBytes = 3
	// serverBufferBytes is the read buffer of an http.Server.
	serverBufferBytes = 4 << 10
)

// headMeter estimates the memory that the request head on a connection holds, from the bytes
// that are read. It counts lines and not fields: an endless line without a field costs its text.
type headMeter struct {
	lines    int
	bytes    int  // with the request line
	field    int  // bytes of the header lines
	lineSize int  // bytes of the line that is being read
	lineHead byte // its first byte
	begun    bool
	complete bool
}

// add counts bytes that have been read, up to the end of the head, and returns the number of
// those behind it.
func (m *headMeter) add(p []byte) int {
	for len(p) > 0 && !m.complete {
		n := bytes.IndexByte(p, '\n') + 1
		end := n > 0
		if !end {
			n = len(p)
		}
		if m.lineSize == 0 {
			m.lineHead = p[0]
		}
		m.bytes += n
		m.lineSize += n
		if m.lines > 0 {
			m.field += n
		}
		if end {
			m.endLine()
		}
		p = p[n:]
	}
	return len(p)
}

// endLine counts a line. An empty line before the request line
// counts as a line, so that a client cannot send them without end.
func (m *headMeter) endLine() {
	empty := m.lineSize == 1 || m.lineSize == 2 && m.lineHead == '\r'
	if empty && m.begun {
		m.complete = true
	}
	m.begun = m.begun || !empty
	m.lines++
	m.lineSize = 0
}

// addUnseen counts n bytes that the server had read before, as if all were short fields.
func (m *headMeter) addUnseen(n int) {
	m.begun = m.begun || n > 0
	m.bytes += n
	m.lines += n / shortestFieldBytes
}

// cost returns the estimated memory of the head, in bytes.
func (m *headMeter) cost() int { return headTextFactor*m.bytes + headFieldBytes*m.lines }

// exceeds reports whether the header lines are more, or have more bytes, than headers within the
// limit can. 0 sets no limit.
func (m *headMeter) exceeds(limit int) bool {
	const otherLines = 2 // the request line and the end of the head
	return limit > 0 && (m.lines > limit/shortestFieldBytes+otherLines || m.field > headSlack+limit)
}

// headSlack is allowed beyond the limit on headers, because the limit counts neither optional
// white space nor the headers that the protocol itself needs.
const headSlack = 4 << 10
