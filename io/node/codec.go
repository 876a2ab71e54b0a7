package node

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// maxMessageBytes limits one control message. The largest ones list the shards of all workspaces;
// a chunk of a manifest has 350 KB. Two fit into the memory for messages on a VM of 284 MiB.
const maxMessageBytes = 2 << 20

// errMessageTooLarge reports a control message of more than maxMessageBytes.
var errMessageTooLarge = errors.New("control message is too large")

// boundedCodec is jsonrpc2.VarintObjectCodec with limits on the size of a message, the time in
// which it must arrive and the memory of all messages that are being read: the length that a
// peer announces is not trusted.
type boundedCodec struct {
	jsonrpc2.VarintObjectCodec
	conn  net.Conn
	limit *messageLimit // nil for no limits but that on the size
}

// ReadObject reads one message. It returns errMessageTooLarge without reading the message
// if that exceeds maxMessageBytes, and errNoMessageMemory if there is no memory for it.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > maxMessageBytes {
		return fmt.Errorf("%w: %d bytes, the maximum is %d", errMessageTooLarge, length, maxMessageBytes)
	}
	end, err := c.begin(int(length))
	if err != nil {
		return err
	}
	defer end()
	body := io.LimitReader(stream, int64(length))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return fmt.Errorf("decode control message: %w", err)
	}
	_, err = io.Copy(io.Discard, body)
	return err
}

// begin reserves the memory of a message and sets the time in which it must arrive. The function
// that it returns ends both.
func (c boundedCodec) begin(length int) (end func(), err error) {
	if c.limit == nil {
		return func() {}, nil
	}
	reserved, err := c.limit.reserve(c.conn, length)
	if err != nil {
		return nil, err
	}
	if err := c.conn.SetReadDeadline(time.Now().Add(messageTimeout)); err != nil {
		c.limit.release(reserved)
		return nil, fmt.Errorf("set read deadline: %w", err)
	}
	return func() {
		c.limit.release(reserved)
		_ = c.conn.SetReadDeadline(time.Time{})
	}, nil
}
