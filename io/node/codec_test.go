package node

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// repeating is an endless stream of one byte.
type repeating byte

func (r repeating) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r)
	}
	return len(p), nil
}

// TestMessageSizeIsBounded guards against a peer, or whatever sends to the control port,
// that announces a message without end and makes the node hold it in memory.
func TestMessageSizeIsBounded(t *testing.T) {
	head := binary.AppendUvarint(nil, 1<<62)
	stream := bufio.NewReader(io.MultiReader(strings.NewReader(string(head)+`{"method":"`), io.LimitReader(repeating('a'), 64<<20)))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var r jsonrpc2.Request
	err := boundedCodec{}.ReadObject(stream, &r)
	runtime.ReadMemStats(&after)
	if !errors.Is(err, errMessageTooLarge) {
		t.Errorf("got error %v, want %v", err, errMessageTooLarge)
	}
	if grown := after.TotalAlloc - before.TotalAlloc; grown > 2*maxMessageBytes {
		t.Errorf("allocated %d bytes", grown)
	}
}

// TestCodecStaysInStep guards against bytes left over from one message that are taken for
// the length of the next.
func TestCodecStaysInStep(t *testing.T) {
	var b strings.Builder
	for _, body := range []string{`{"method":"a"}  `, `{"method":"b"}`} {
		b.Write(binary.AppendUvarint(nil, uint64(len(body))))
		b.WriteString(body)
	}
	stream := bufio.NewReader(strings.NewReader(b.String()))
	for _, want := range []string{"a", "b"} {
		var m map[string]string
		if err := (boundedCodec{}).ReadObject(stream, &m); err != nil || m["method"] != want {
			t.Errorf("got message %v, error %v; want method %s", m, err, want)
		}
	}
}

// TestDecodeFrameOfOddMessages guards against messages of another writer that end the
// process instead of being refused.
func TestDecodeFrameOfOddMessages(_ *testing.T) {
	for _, body := range []string{
		`null`, `{}`, `[]`, `{"from":"n1","body":null}`, `{"from":"n1"}`, `{"from":"n1","body":{"self":{"slots":1e999}}}`,
		`{"from":"n1","body":{"self":{"node":"10.0.0.1:65536"}}}`, `{"from":"n1","body":{"clock":18446744073709551616}}`,
		`{"from":"n1","body":` + strings.Repeat("[", 100000) + `}`, "\x00", "",
	} {
		for _, method := range []string{methodSync, methodConfirmation, methodReport, methodPlan, methodManifestResponse, methodManifestRequest, methodManifestChunk, methodManifestBusy, methodShardUpdate, methodTokenGrant} {
			raw := []byte(body)
			_, _ = decodeFrame(method, (*json.RawMessage)(&raw))
		}
	}
}
