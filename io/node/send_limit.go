package node

import (
	"context"
	"fmt"

	"golang.org/x/sync/semaphore"
)

const (
	// sentMemoryFactor is the memory of a message while it is sent, as a multiple of its body:
	// the body, the request that contains it, and the encoding of that.
	sentMemoryFactor = 3
	// limitedSendBytes is the size from which messages are limited. Smaller ones, among them
	// those that wait for an acknowledgement, are not held up by large ones.
	limitedSendBytes = 32 << 10
)

// sendLimit limits the memory of the large messages that are being sent.
type sendLimit struct {
	max       int64 // bytes, 0 for no limit
	semaphore *semaphore.Weighted
}

func newSendLimit(n int) *sendLimit {
	return &sendLimit{max: int64(n), semaphore: semaphore.NewWeighted(int64(n))}
}

// acquire reserves the memory of a message and returns how much it is. It waits until the memory
// is free or the context is done.
func (l *sendLimit) acquire(ctx context.Context, bodyBytes int) (held int64, err error) {
	if l.max == 0 || bodyBytes < limitedSendBytes {
		return 0, nil
	}
	held = min(l.max, int64(sentMemoryFactor*bodyBytes))
	if err := l.semaphore.Acquire(ctx, held); err != nil {
		return 0, fmt.Errorf("memory for a message of %d bytes: %w", bodyBytes, err)
	}
	return held, nil
}

// release returns the memory of a message.
func (l *sendLimit) release(held int64) {
	if held > 0 {
		l.semaphore.Release(held)
	}
}
