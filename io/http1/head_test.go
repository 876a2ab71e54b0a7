package http1

import "testing"

// TestFoldDetectorAtEverySplit guards against a folded line that is missed, or bytes of a body that
// count as one, depending on how the head is split into reads.
func TestFoldDetectorAtEverySplit(t *testing.T) {
	for _, tt := range []struct {
		text string
		want bool
	}{
		{"HTTP/1.1 200 OK\r\nX: y\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nX: y\r\n Z: z\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\nX: y\r\n\tZ: z\r\n\r\n", true},
		{"HTTP/1.1 200 OK\r\n X: y\r\n\r\n", true},
		{"HTTP/1.1 200 OK\nX: y\n z\n\n", true},
		{"HTTP/1.1 200 OK\r\nX: y\r\n\r\n body\r\n of lines\r\n", false},
		{"HTTP/1.1 200 OK\nX: y\n\n body\n of lines\n", false},
		{"HTTP/1.1 204 No Content\r\n\r\n rest", false},
	} {
		for split := range tt.text {
			for _, step := range []int{1, len(tt.text)} {
				d := foldDetector{}
				d.scan([]byte(tt.text[:split]))
				for rest := tt.text[split:]; rest != ""; rest = rest[min(step, len(rest)):] {
					d.scan([]byte(rest[:min(step, len(rest))]))
				}
				if d.found != tt.want {
					t.Errorf("%q, split at %d, then %d bytes at a time: found %t, want %t", tt.text, split, step, d.found, tt.want)
				}
			}
		}
	}
}

// BenchmarkFoldDetector measures the scan of an ordinary head.
func BenchmarkFoldDetector(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Length: 1200\r\nContent-Type: application/json\r\nRequest-Id: 9c41d07be2a35f68\r\nServer-Load: 3,0,8\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n")
	for b.Loop() {
		d := foldDetector{}
		d.scan(head)
	}
}
