package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// conn is a TCP connection whose reads and writes use raw system calls. The sockets are
// non-blocking, so that a call returns at once. An ordinary system call tells the Go
// scheduler that it may block, which wakes the scheduler's monitor thread each time the
// process was idle: most of the wake-ups of a node that forwards short requests.
type conn struct {
	*net.TCPConn
	raw         syscall.RawConn
	read, write transfer
	output      output
	resets      atomic.Bool // closing discards what its peer has not read
}

// transfer is the state of a read or a write in progress. The functions that the runtime
// calls until it is complete are kept, so that no call allocates.
type transfer struct {
	op      string                                    // for errors
	wait    func(attempt func(fd uintptr) bool) error // calls attempt until it returns true
	mu      sync.Mutex
	buffer  []byte
	done    int
	errno   syscall.Errno
	attempt func(fd uintptr) bool
	blocked func()  // called when a write waits for its peer
	failure failure // of the system calls of a write
}

// failure is the first error of the system calls of a transfer.
type failure struct {
	mu    sync.Mutex // held during each system call, so that its error is seen with its effect
	errno syscall.Errno
}

// set records an error unless there is an earlier one.
func (f *failure) set(errno syscall.Errno) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.errno == 0 {
		f.errno = errno
	}
}

// brokeOff returns the error with which the connection broke off before the peer had ended the
// bytes that it sends, or 0. Once the peer has ended them, Linux reports a reset as EPIPE.
func (f *failure) brokeOff() syscall.Errno {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.errno == syscall.EPIPE {
		return 0
	}
	return f.errno
}

// newConn wraps a connection, or returns it as it is if its descriptor cannot be used.
func newConn(c *net.TCPConn) net.Conn {
	raw, err := c.SyscallConn()
	if err != nil {
		return c
	}
	out := &conn{TCPConn: c, raw: raw, output: output{limit: userTimeout}}
	out.read.op, out.read.wait, out.read.attempt = "read", raw.Read, out.read.tryRead
	out.write.op, out.write.wait, out.write.attempt = "write", raw.Write, out.write.tryWrite
	out.write.blocked = func() { outputs.watch(out) }
	return out
}

// Read reads from the connection. It returns io.EOF only if the peer has ended its stream. The
// kernel reports a reset once: if a write has got the error, a read returns no bytes and no
// error, as at the end of the stream.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.run(&c.read, p)
	if n == 0 && err == nil && len(p) > 0 {
		if errno := c.write.failure.brokeOff(); errno != 0 {
			return 0, c.wrap(c.read.op, os.NewSyscallError(c.read.op, errno))
		}
		return 0, io.EOF
	}
	return n, err
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.run(&c.write, p)
	if n > 0 {
		outputs.watch(c)
	}
	return n, err
}

// run reads into p or writes it, and returns the number of bytes done.
func (c *conn) run(t *transfer, p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buffer, t.done, t.errno = p, 0, 0
	err := t.wait(t.attempt)
	t.buffer = nil
	if err == nil && t.errno != 0 {
		err = os.NewSyscallError(t.op, t.errno)
	}
	if err != nil {
		return t.done, c.wrap(t.op, err)
	}
	return t.done, nil
}

// SetLinger sets what closing does with bytes that the peer has not read, as for a net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	c.resets.Store(seconds == 0)
	return c.TCPConn.SetLinger(seconds)
}

// tryRead reads once and reports whether the read is complete, successfully or not.
func (t *transfer) tryRead(fd uintptr) bool {
	for {
		n, _, errno := syscall.RawSyscall(syscall.SYS_READ, fd, uintptr(unsafe.Pointer(unsafe.SliceData(t.buffer))), uintptr(len(t.buffer)))
		switch errno {
		case 0:
			t.done = int(n)
			return true
		case syscall.EINTR:
		case syscall.EAGAIN:
			return false
		default:
			t.errno = errno
			return true
		}
	}
}

// tryWrite writes as much as the socket takes and reports whether the write is complete,
// successfully or not.
func (t *transfer) tryWrite(fd uintptr) bool {
	t.failure.mu.Lock()
	defer t.failure.mu.Unlock()
	for t.done < len(t.buffer) {
		rest := t.buffer[t.done:]
		n, _, errno := syscall.RawSyscall(syscall.SYS_WRITE, fd, uintptr(unsafe.Pointer(unsafe.SliceData(rest))), uintptr(len(rest)))
		switch errno {
		case 0:
			t.done += int(n)
		case syscall.EINTR:
		case syscall.EAGAIN:
			t.blocked()
			return false
		default:
			if t.failure.errno == 0 {
				t.failure.errno = errno
			}
			t.errno = t.failure.errno // the kernel reports a cause once, and EPIPE from then on
			return true
		}
	}
	return true
}

// wrap returns an error in the form of those of package net.
func (c *conn) wrap(op string, err error) error {
	var inner *net.OpError
	if errors.As(err, &inner) {
		err = inner.Err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// Quiet reports whether a connection is open and has no unread data.
func Quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		_, errno := peek(fd)
		quiet = errno == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// connKey is the key of a connection in a context.
type connKey struct{}

// WithConn returns a context that holds a connection. It is the ConnContext function of servers
// whose handlers use PeerClosed or ConnOf.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ConnOf returns the connection that a context holds, without its wrapper of a listener, or nil.
func ConnOf(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	if s, ok := c.(*serverConn); ok {
		return s.Conn
	}
	return c
}

// ResetOnClose makes a connection end with a reset once it is closed, whatever its peer has not
// read yet. It does nothing for one that is no TCP connection.
func ResetOnClose(c net.Conn) {
	if t, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0) // fails if the connection has ended
	}
}

// PeerClosed reports whether the peer of the connection that the context holds has closed it or
// has shut down its sending side, also if bytes that it sent before are unread.
func PeerClosed(ctx context.Context) bool {
	s, ok := ConnOf(ctx).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}

// peek returns the number of bytes that can be read, at most 1, without reading them.
func peek(fd uintptr) (int, syscall.Errno) {
	var b [1]byte
	n, _, errno := syscall.RawSyscall6(syscall.SYS_RECVFROM, fd, uintptr(unsafe.Pointer(&b[0])), 1, syscall.MSG_PEEK|syscall.MSG_DONTWAIT, 0, 0)
	return int(n), errno
}

var _ syscall.Conn = (*conn)(nil)
