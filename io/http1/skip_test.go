package http1

import (
	"net"
	"strings"
	"testing"
)

// TestSkippedResponseHidesNoOther guards against bytes of the body of a skipped response that
// are read as the response to the current request.
func TestSkippedResponseHidesNoOther(t *testing.T) {
	forged := "HTTP/1.1 200 OK\r\nRequest-Id: b\r\nContent-Length: 5\r\n\r\nwrong"
	at := startServer(t, func(c net.Conn) {
		if !readHead(c) {
			return
		}
		writeResponse(c, "a", "first")
		if !readHead(c) {
			return
		}
		writeResponse(c, "a", strings.Repeat("x", maxSkippedBodyBytes)+forged)
		readHead(c)
	})
	c := NewClient(Config{Address: at, Verifier: requestIDVerifier{}})
	ctx := testContext(t)
	if got, err := roundTrip(ctx, c, "a", nil); err != nil || got != "first" {
		t.Fatalf("first request got response %q, error %v", got, err)
	}
	if got, err := roundTrip(ctx, c, "b", nil); err == nil {
		t.Errorf("second request got response %q, want an error", got)
	}
}
