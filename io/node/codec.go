package node

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes limits one control message. The largest one carries a manifest, whose
// value in the store has at most 1 MiB.
const maxMessageBytes = 4 << 20

// errMessageTooLarge reports a control message of more than maxMessageBytes.
var errMessageTooLarge = errors.New("control message is too large")

// boundedCodec is jsonrpc2.VarintObjectCodec with a limit on the size of a message: the
// length that a peer announces is not trusted.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject reads one message. It returns errMessageTooLarge without reading the message
// if that exceeds maxMessageBytes.
func (boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes, the maximum is %d", errMessageTooLarge, length, maxMessageBytes)
	}
	body := io.LimitReader(stream, int64(length))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode control message: %w", err)
	}
	_, err = io.Copy(io.Discard, body)
	return err
}
