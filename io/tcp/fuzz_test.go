package tcp

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
)

// heldFieldBytes is less than what net/http holds for a header field beside its text.
const heldFieldBytes = 100

// FuzzHead follows arbitrary bytes as a request head. A head that net/http accepts must count as
// complete, as its connection could otherwise be refused as not executed, and must cost at least
// what it holds. The pieces in which the bytes arrive must not matter.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n\r\n", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\n", "GET / HTTP/1.1\r\na:\r\nb:\r\na:\r\n\r\nrest",
		"GET / HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var whole, pieces headMeter
		whole.add(text)
		for i := range text {
			pieces.add(text[i : i+1])
		}
		if whole != pieces {
			t.Errorf("the meter depends on the pieces: %+v and %+v", whole, pieces)
		}
		if bound := len(text) * (headTextFactor + headFieldBytes); whole.cost() > bound {
			t.Errorf("%d bytes cost %d, more than %d", len(text), whole.cost(), bound)
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(text)))
		if err != nil {
			return
		}
		if !whole.complete {
			t.Error("a head that is complete for net/http is not for the meter")
		}
		held := 0
		for name, values := range req.Header {
			held += len(name) + heldFieldBytes*len(values)
			for _, v := range values {
				held += len(v)
			}
		}
		if whole.cost() < held {
			t.Errorf("the head holds at least %d bytes and costs %d", held, whole.cost())
		}
	})
}
