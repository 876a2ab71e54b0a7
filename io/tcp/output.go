package tcp

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// outputInterval is the interval at which unacknowledged output is checked.
	outputInterval = 200 * time.Millisecond
	// probeTime is added to the time for which a peer has read nothing and becomes the kernel's
	// limit. The kernel sends the next window probe no later than its limit, although its own
	// interval doubles: a lost one is repeated before userTimeout. Checks may come late by this
	// time without ending a connection.
	probeTime = 450 * time.Millisecond
)

// outputMonitor tells peers that read slowly from silent ones. The kernel's limit on
// unacknowledged data also ends a connection whose peer acknowledges each probe of a closed
// window. The monitor raises that limit as long as acknowledgements arrive, and ends the
// connection when they do not.
type outputMonitor struct {
	unsupported atomic.Bool // the system does not report the state of a connection
	mu          sync.Mutex  // guards the fields below
	conns       []*conn     // with output that may be unacknowledged
	running     bool        // a check is due or in progress
}

// outputs monitors all connections, so that one timer serves them.
var outputs outputMonitor

// output is the state of the bytes that a connection sends. Only checks use it, but for listed.
type output struct {
	listed       atomic.Bool // among the connections of the monitor
	acked        uint64      // bytes acknowledged at the last check
	stalledSince time.Time   // nothing has been acknowledged since; zero before the first check
	limit        time.Duration
}

// watch adds a connection on which bytes have been written. It must be called after the write: a
// check that removes the connection at the same time then sees the bytes.
func (m *outputMonitor) watch(c *conn) {
	if c.output.listed.Load() || m.unsupported.Load() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.output.listed.Swap(true) {
		return
	}
	m.conns = append(m.conns, c)
	if !m.running {
		m.running = true
		time.AfterFunc(outputInterval, m.check)
	}
}

// check checks all connections and keeps those that have unacknowledged output. Writes do not wait
// for it.
func (m *outputMonitor) check() {
	m.mu.Lock()
	conns := m.conns
	m.conns = nil
	m.mu.Unlock()
	now := time.Now()
	kept := make([]*conn, 0, len(conns))
	for _, c := range conns {
		c.output.listed.Store(false)
		if m.checkConn(c, now) && !c.output.listed.Swap(true) {
			kept = append(kept, c)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(kept, m.conns...)
	if m.running = len(m.conns) > 0; m.running {
		time.AfterFunc(outputInterval, m.check)
	}
}

// checkConn checks one connection and reports whether it has unacknowledged output.
func (m *outputMonitor) checkConn(c *conn, now time.Time) bool {
	info, err := c.info()
	if err != nil {
		if isUnsupported(err) {
			m.unsupported.Store(true)
		}
		return false // the kernel's limit applies
	}
	o := &c.output
	pending := isUnacknowledged(info)
	switch {
	case !pending:
		o.stalledSince = time.Time{}
	case o.stalledSince.IsZero() || o.acked != info.Bytes_acked:
		o.stalledSince, o.acked = now, info.Bytes_acked
	case isSilent(info):
		c.fail(syscall.ETIMEDOUT)
		return false
	}
	limit := userTimeout
	if pending {
		limit = max(limit, now.Sub(o.stalledSince)+outputInterval+probeTime)
	}
	if limit != o.limit && c.setUserTimeout(limit) == nil {
		o.limit = limit
	}
	return pending
}

func isUnsupported(err error) bool {
	return errors.Is(err, unix.ENOPROTOOPT) || errors.Is(err, unix.EOPNOTSUPP) || errors.Is(err, unix.ENOSYS)
}

// isUnacknowledged reports whether the peer has not acknowledged all bytes that were written.
func isUnacknowledged(i *unix.TCPInfo) bool {
	return i.State != unix.BPF_TCP_CLOSE && (i.Unacked > 0 || i.Notsent_bytes > 0)
}

// isSilent reports whether the peer has not responded for userTimeout, also not to what the kernel
// has repeated since.
func isSilent(i *unix.TCPInfo) bool {
	return (i.Probes > 0 || i.Retransmits > 0) && time.Duration(i.Last_ack_recv)*time.Millisecond >= userTimeout
}

// info returns what the kernel knows of the connection.
func (c *conn) info() (info *unix.TCPInfo, err error) {
	ctlErr := c.raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(ctlErr, err)
}

// setUserTimeout sets the kernel's limit on how long sent data may be unacknowledged.
func (c *conn) setUserTimeout(d time.Duration) error { return setUserTimeout(c.raw, d) }

// fail ends the connection. Reads and writes, also those in progress, return the error.
func (c *conn) fail(errno syscall.Errno) {
	c.write.failure.set(errno)
	_ = c.CloseRead() // fails if the connection has ended
	_ = c.CloseWrite()
}
