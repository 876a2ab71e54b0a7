package loopback

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// smallWindow is the size of a receive buffer in bytes.
const smallWindow = 4 << 10

// SmallWindow is a Control function of dialers and listeners. It limits the receive buffers of their
// sockets, so that a side that does not read closes its window after a few kilobytes.
func SmallWindow(_, _ string, c syscall.RawConn) error {
	var optErr error
	if err := c.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, smallWindow)
	}); err != nil {
		return fmt.Errorf("limit receive buffer: %w", err)
	}
	if optErr != nil {
		return fmt.Errorf("limit receive buffer: %w", optErr)
	}
	return nil
}
