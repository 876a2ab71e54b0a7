package relay

import (
	"errors"
	"io"
	"net/http"
)

const (
	copyBuffer = 32 << 10
	// minCopyBuffer is used while other calls hold the memory for buffers.
	minCopyBuffer = 2 << 10
)

// copyBufferSize returns the size of the buffer for a body of n bytes.
func (x *exchange) copyBufferSize(n int64) int64 {
	size := min(copyBuffer, n)
	if size > minCopyBuffer && !x.held.reserve(int(size)) {
		return minCopyBuffer
	}
	return size
}

// stream copies the body. It flushes after each read if the length is unknown.
func (x *exchange) stream(res *http.Response, rec *recorder) error {
	if res.ContentLength == 0 {
		return nil
	}
	var sink io.Writer = x.w
	if rec != nil {
		sink = io.MultiWriter(x.w, rec)
	}
	if res.ContentLength > 0 {
		buf := make([]byte, x.copyBufferSize(res.ContentLength))
		_, err := io.CopyBuffer(writerOnly{sink}, res.Body, buf)
		return err
	}
	return x.streamFlushed(res.Body, sink)
}

func (x *exchange) streamFlushed(from io.Reader, sink io.Writer) error {
	flusher := http.NewResponseController(x.w)
	buf := make([]byte, x.copyBufferSize(copyBuffer))
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, werr := sink.Write(buf[:n]); werr != nil {
				return werr
			}
			if err == nil {
				_ = flusher.Flush()
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writerOnly hides ReadFrom, so that io.CopyBuffer uses the given buffer.
type writerOnly struct{ io.Writer }

func copyInto(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}
