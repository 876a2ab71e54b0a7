package node

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"time"
)

const (
	// messageTimeout is the time in which a control message must arrive completely.
	messageTimeout = 5 * time.Second
	// messageMemoryFactor is the memory of a message while it is read, as a multiple of its
	// length: the decoder's buffer and the decoded parameters.
	messageMemoryFactor = 2
)

// errNoMessageMemory reports that a control message was not read, as others hold the memory.
var errNoMessageMemory = errors.New("no memory for another control message")

// messageLimit limits the memory of the control messages that are being read.
type messageLimit struct {
	max     int // bytes, 0 for no limit
	mu      sync.Mutex
	held    int
	pending list.List // of *reservation, in the order in which the messages were announced
}

// reservation is the memory of a message that is being read.
type reservation struct {
	conn    net.Conn
	bytes   int
	element *list.Element // nil once it is released
}

func newMessageLimit(n int) *messageLimit { return &messageLimit{max: n} }

// reserve reserves the memory of a message. If it is not free, the connections whose messages
// have been incomplete the longest are closed.
func (l *messageLimit) reserve(conn net.Conn, length int) (*reservation, error) {
	r := &reservation{conn: conn, bytes: messageMemoryFactor * length}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.max > 0 && r.bytes > l.max {
		return nil, errNoMessageMemory
	}
	for l.max > 0 && l.held+r.bytes > l.max {
		oldest := l.pending.Front().Value.(*reservation)
		l.remove(oldest)
		_ = oldest.conn.Close()
	}
	r.element = l.pending.PushBack(r)
	l.held += r.bytes
	return r, nil
}

// release returns the memory of a message, unless its connection has been closed for another.
func (l *messageLimit) release(r *reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.remove(r)
}

func (l *messageLimit) remove(r *reservation) {
	if r.element == nil {
		return
	}
	l.pending.Remove(r.element)
	r.element = nil
	l.held -= r.bytes
}
