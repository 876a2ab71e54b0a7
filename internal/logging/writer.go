package logging

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the buffer of lines to be written. It holds about a second
	// of a node's output at its highest rate.
	maxPendingBytes = 256 << 10
	// flushInterval is the time for which lines are collected into one write.
	flushInterval = 100 * time.Millisecond
)

// Writer buffers lines, which Run writes to the output. Lines that do not fit the buffer
// because the output is slow are dropped, and their number is written with the next flush.
type Writer struct {
	out     io.Writer
	wake    chan struct{} // signals that pending is no longer empty
	mu      sync.Mutex
	pending []byte
	spare   []byte // buffer of the previous flush, reused
	dropped int
}

// NewWriter returns a Writer to out. Nothing is written before Run is called.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, wake: make(chan struct{}, 1)}
}

// Write buffers a line, or drops it if the buffer is full. It does not wait for the output
// and never returns an error.
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

// Run writes buffered lines until the context ends, then flushes the rest.
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
		_, _ = w.out.Write(lines) // an error of the log itself cannot be logged
	}
	w.spare = lines
}
