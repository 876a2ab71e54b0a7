package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// An incomplete body must be refused, and a body that is not completely buffered must not
// be reported as replayable: a further attempt would send only the rest of it.
func TestIncompleteBodyIsRefusedAndOnlyBufferedBodyIsReplayable(t *testing.T) {
	for _, tt := range []struct {
		name       string
		sent       string
		length     int64
		fails      bool
		replayable bool
	}{
		{"none", "", 0, false, true},
		{"complete", "abc", 3, false, true},
		{"incomplete", "abc", 6, true, false},
		{"length unknown", "abc", -1, false, true},
		{"length unknown, at the limit", strings.Repeat("x", maxReplayableBodyBytes), -1, false, true},
		{"length unknown, over the limit", strings.Repeat("x", 2*maxReplayableBodyBytes), -1, false, false},
		{"over the limit", "abc", maxReplayableBodyBytes + 1, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			req := &http.Request{Body: io.NopCloser(strings.NewReader(tt.sent)), ContentLength: tt.length}
			b, err := openBody(req, 0)
			if (err != nil) != tt.fails || b.replayable != tt.replayable {
				t.Fatalf("openBody: replayable %t, error %v; want replayable %t, error %t", b.replayable, err, tt.replayable, tt.fails)
			}
			if tt.fails {
				return
			}
			if b.stream != nil {
				go b.stream.run()
			}
			out := &http.Request{}
			b.attach(out)
			got, err := io.ReadAll(out.Body)
			if err != nil || string(got) != tt.sent {
				t.Errorf("forwarded body %q, error %v; want %q", got, err, tt.sent)
			}
		})
	}
}
