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
	stream     io.ReadCloser
	length     int64
	replayable bool
}

// openBody buffers a small body and fails if it is incomplete. A body of unknown length
// counts as small if it ends within the limit.
func openBody(req *http.Request) (body, error) {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0 {
		return body{replayable: true}, nil
	}
	if req.ContentLength > maxReplayableBodyBytes {
		return body{stream: req.Body, length: req.ContentLength}, nil
	}
	if req.ContentLength < 0 {
		return openUnknownLength(req)
	}
	held := make([]byte, req.ContentLength)
	if _, err := io.ReadFull(req.Body, held); err != nil {
		return body{}, fmt.Errorf("read body: %w", err)
	}
	return body{buffered: held, length: req.ContentLength, replayable: true}, nil
}

// attach sets the body of an outgoing request.
func (b body) attach(out *http.Request) {
	switch {
	case b.stream != nil:
		out.Body = b.stream
	case len(b.buffered) > 0:
		out.Body = io.NopCloser(bytes.NewReader(b.buffered))
	default:
		out.Body = http.NoBody
	}
	out.ContentLength = b.length
}

func openUnknownLength(req *http.Request) (body, error) {
	held, err := io.ReadAll(io.LimitReader(req.Body, maxReplayableBodyBytes+1))
	if err != nil {
		return body{}, fmt.Errorf("read body: %w", err)
	}
	if len(held) <= maxReplayableBodyBytes {
		return body{buffered: held, length: int64(len(held)), replayable: true}, nil
	}
	rest := struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(held), req.Body), req.Body}
	return body{stream: rest, length: -1}, nil
}
