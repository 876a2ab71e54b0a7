package logging

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes is how many bytes of lines may wait, about a second of the most
	// that a node logs.
	maxPendingBytes = 256 << 10
	// flushInterval gathers lines into one write.
	flushInterval = 100 * time.Millisecond
)

// Writer passes lines on from a goroutine of its own. When the reader is slow,
// lines are dropped and counted, and the count is written once there is room.
type Writer struct {
	out     io.Writer
	wake    chan struct{}
	mu      sync.Mutex
	pending []byte
	spare   []byte
	dropped int
}

// NewWriter returns a writer that Run is yet to start.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write queues one line or drops it; it never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	wasEmpty := len(w.pending) == 0
	w.pending = append(w.pending, line...)
	w.mu.Unlock()
	if wasEmpty {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Run writes until the context ends, and then what is left.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			w.flush()
			return
		}
		t := time.NewTimer(flushInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "level=warn event=log-lines-dropped count=%d\n", dropped)
	}
	if len(lines) > 0 {
		_, _ = w.out.Write(lines) // nowhere is left to report that logging fails
	}
	w.spare = lines
}
