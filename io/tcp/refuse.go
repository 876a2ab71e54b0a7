package tcp

import (
	"bufio"
	"io"
	"net"
	"strings"
	"time"
)

const (
	refuseTime = 500 * time.Millisecond
	// maxRefusedBytes is how much of a refused request is read before the response. Closing
	// a connection with unread bytes would discard the response.
	maxRefusedBytes = 64 << 10
	// defaultMaxRefused is the limit if ListenerConfig.MaxRefused is 0.
	defaultMaxRefused = 32
)

// refuse answers the first request on a connection with the Refusal and closes it.
func (l *Listener) refuse(c *net.TCPConn) {
	limit := l.MaxRefused
	if limit == 0 {
		limit = defaultMaxRefused
	}
	if l.Refusal == "" || l.refusing.Add(1) > int32(limit) {
		l.refusing.Add(-1)
		_ = c.Close()
		return
	}
	go func() {
		defer func() {
			_ = c.Close()
			l.refusing.Add(-1)
		}()
		if c.SetDeadline(time.Now().Add(refuseTime)) != nil {
			return
		}
		if skipHead(io.LimitReader(c, maxRefusedBytes)) != nil {
			return
		}
		if _, err := io.WriteString(c, l.Refusal); err != nil {
			return
		}
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxRefusedBytes)) // until the peer closes
	}()
}

// skipHead reads a request head, holding no more than a buffer of it.
func skipHead(r io.Reader) error {
	head := bufio.NewReaderSize(r, 1<<10)
	for lineStart := true; ; {
		part, err := head.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull { //nolint:errorlint // ReadSlice returns it as it is
			return err
		}
		if lineStart && strings.TrimSpace(string(part)) == "" {
			return nil
		}
		lineStart = err == nil
	}
}
