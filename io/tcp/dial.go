package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout allows many round trips within a region, and is less than the second
	// that clients allow for connecting.
	dialTimeout = 500 * time.Millisecond
	// The kernel closes a connection if sent data is unacknowledged for userTimeout, or
	// if the peer does not respond to keepAliveProbes consecutive keep-alive probes. The
	// outputMonitor raises userTimeout for peers that read slowly.
	userTimeout       = 1500 * time.Millisecond
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 2
)

// Dialer connects to TCP addresses.
type Dialer struct{ net.Dialer }

// NewDialer returns a dialer whose connections fail soon after their peer stops
// responding.
func NewDialer() *Dialer {
	return &Dialer{net.Dialer{
		Timeout: dialTimeout,
		Control: limitUnacknowledged,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}}
}

// DialContext connects to an address.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if t, ok := c.(*net.TCPConn); ok {
		return newConn(t), nil
	}
	return c, nil
}

// newListenConfig returns a configuration whose accepted connections fail soon after
// their peer stops responding.
func newListenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		Control: limitUnacknowledged,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
}

// limitUnacknowledged is a Control function that sets userTimeout.
func limitUnacknowledged(_, _ string, c syscall.RawConn) error {
	return setUserTimeout(c, userTimeout)
}

// setUserTimeout sets how long sent data may be unacknowledged.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var optErr error
	err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
