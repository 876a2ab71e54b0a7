package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

func TestIncompleteBodyIsRefusedAndOnlyBufferedBodyIsReplayable(t *testing.T) {
	for _, tt := range []struct {
		name       string
		sent       string
		length     int64
		fails      bool
		replayable bool
	}{
		{"none", "", 0, false, true},
		{"whole", "abc", 3, false, true},
		{"stops half-way", "abc", 6, true, false},
		{"length unknown", "abc", -1, false, true},
		{"length unknown, as large as is held", strings.Repeat("x", maxReplayableBodyBytes), -1, false, true},
		{"length unknown, larger", strings.Repeat("x", 2*maxReplayableBodyBytes), -1, false, false},
		{"too large to hold", "abc", maxReplayableBodyBytes + 1, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			req := &http.Request{Body: io.NopCloser(strings.NewReader(tt.sent)), ContentLength: tt.length}
			b, err := openBody(req)
			if (err != nil) != tt.fails || b.replayable != tt.replayable {
				t.Fatalf("got replayable %t, %v", b.replayable, err)
			}
			if tt.fails {
				return
			}
			out := &http.Request{}
			b.attach(out)
			got, err := io.ReadAll(out.Body)
			if err != nil || string(got) != tt.sent {
				t.Errorf("sent on %q, %v; want %q", got, err, tt.sent)
			}
		})
	}
}
