package node

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestSentMessagesAreLimited guards against large messages to many peers that are encoded at the
// same time, and against small ones that wait for them.
func TestSentMessagesAreLimited(t *testing.T) {
	const body = 300 << 10
	l := newSendLimit(2 * sentMemoryFactor * body)
	var held []int64
	for range 2 {
		n, err := l.acquire(t.Context(), body)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, n)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := l.acquire(ctx, body); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v for a third message, want %v", err, context.DeadlineExceeded)
	}
	if n, err := l.acquire(t.Context(), limitedSendBytes-1); err != nil || n != 0 {
		t.Errorf("a small message holds %d bytes, error %v", n, err)
	}
	for _, n := range held {
		l.release(n)
	}
	if n, err := l.acquire(t.Context(), 1<<30); err != nil || n != l.max {
		t.Errorf("a message above the limit holds %d bytes, error %v; want all %d", n, err, l.max)
	}
	if n, err := newSendLimit(0).acquire(t.Context(), body); err != nil || n != 0 {
		t.Errorf("without a limit a message holds %d bytes, error %v", n, err)
	}
}
