package tcp

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the set-up of a connection: many round trips inside a
	// region, and less than the second a client allows for its own.
	dialTimeout = 500 * time.Millisecond
	// A connection on which sent data stays unacknowledged for userTimeout, or whose
	// peer misses probeCount probes a second apart, is closed by the kernel.
	userTimeout       = 1500 * time.Millisecond
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveProbes   = 2
)

// NewDialer returns a dialer whose connections report a silent peer.
func NewDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
}

// NewListenConfig returns a configuration whose accepted connections report a silent peer.
func NewListenConfig() *net.ListenConfig {
	return &net.ListenConfig{
		Control: setUserTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
	}
}

// setUserTimeout bounds how long sent data may stay unacknowledged.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
