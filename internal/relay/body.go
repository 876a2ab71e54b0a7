package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// maxReplayableBodyBytes is the size of the largest request body that is buffered for
// further attempts.
const maxReplayableBodyBytes = 64 << 10

// body is a request body. A small body is buffered completely; any other is streamed and
// can be sent only once.
type body struct {
	buffered   []byte
	stream     *stream
	length     int64
	replayable bool
}

// openBody buffers a small body and fails if it is incomplete. A body of unknown length
// counts as small if it ends within the limit. A body of more than maxBytes fails, 0 stands for
// no limit.
func openBody(req *http.Request, maxBytes int64) (body, error) {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0 {
		return body{replayable: true}, nil
	}
	var source io.Reader = req.Body
	if maxBytes > 0 {
		source = &limitedBody{Reader: req.Body, limit: maxBytes, left: maxBytes}
	}
	if req.ContentLength > maxReplayableBodyBytes {
		return body{stream: newStream(source), length: req.ContentLength}, nil
	}
	if req.ContentLength < 0 {
		return openUnknownLength(source)
	}
	held := make([]byte, req.ContentLength)
	if _, err := io.ReadFull(source, held); err != nil {
		return body{}, fmt.Errorf("read body: %w", err)
	}
	return body{buffered: held, length: req.ContentLength, replayable: true}, nil
}

// attach sets the body of an outgoing request.
func (b body) attach(out *http.Request) {
	switch {
	case b.stream != nil:
		out.Body = io.NopCloser(b.stream.newReader())
	case len(b.buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
	default:
		out.Body = http.NoBody
	}
	out.ContentLength = b.length
}

func openUnknownLength(source io.Reader) (body, error) {
	held, err := io.ReadAll(io.LimitReader(source, maxReplayableBodyBytes+1))
	if err != nil {
		return body{}, fmt.Errorf("read body: %w", err)
	}
	if len(held) <= maxReplayableBodyBytes {
		return body{buffered: held, length: int64(len(held)), replayable: true}, nil
	}
	return body{stream: newStream(io.MultiReader(bytes.NewReader(held), source)), length: -1}, nil
}
