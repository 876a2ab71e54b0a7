package tcp

import (
	"context"
	"fmt"
	"net"
	"time"
)

const (
	// flushInterval is the interval at which connections in phaseFlush are checked.
	flushInterval = 20 * time.Millisecond
	// defaultFlushTime is how long a closed connection is kept if its response has no time limit.
	defaultFlushTime = 5 * time.Second
)

// beginFlush keeps a connection that its server closes if its client has not read all of the
// response, and reports whether it does. The caller holds the mutex of the listener. Without it
// the rest would be in the kernel alone, whose limit on unacknowledged data nobody raises then, and
// which a process that stops cannot wait for.
func (c *serverConn) beginFlush(now time.Time) bool {
	end := c.writeEnd
	if end.IsZero() {
		end = now.Add(defaultFlushTime)
	}
	if c.position == nil || !now.Before(end) || !isUnread(c.Conn) {
		return false
	}
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return false
	}
	c.ended = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // ends the read of the server
	c.releaseHead()
	c.place(phaseFlush)
	go c.flush(end)
	return true
}

// flush closes the connection once its client has read the response, has left, or the time is up.
func (c *serverConn) flush(end time.Time) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if !now.Before(end) || !isUnread(c.Conn) {
			break
		}
	}
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	_ = c.Conn.Close() // fails if the connection has been evicted
}

// isUnread reports whether the kernel holds bytes that it could not send yet, or had to repeat: in
// general as the peer has no room for them. Bytes that are discarded on closing do not count.
func isUnread(c net.Conn) bool {
	t, ok := c.(*conn)
	if !ok || t.resets.Load() || outputs.unsupported.Load() {
		return false
	}
	info, err := t.info()
	return err == nil && isUnacknowledged(info) && (info.Notsent_bytes > 0 || info.Retransmits > 0)
}

// Flush waits until the clients have read the responses on all connections that the server has
// closed, or have left, or the context is done.
func (l *Listener) Flush(ctx context.Context) error {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		l.mu.Lock()
		unread := l.phases[phaseFlush].Len()
		l.mu.Unlock()
		if unread == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("%d responses not read: %w", unread, ctx.Err())
		}
	}
}
