package http1

import "testing"

// TestHeadScannerAtEverySplit guards against a line of a head that is missed, or bytes of a body
// that count as one, depending on how the head is split into reads.
func TestHeadScannerAtEverySplit(t *testing.T) {
	for _, tt := range []struct {
		text            string
		folded, encoded bool
	}{
		{"HTTP/1.1 200 OK\r\nX: y\r\n\r\n", false, false},
		{"HTTP/1.1 200 OK\r\nX: y\r\n Z: z\r\n\r\n", true, false},
		{"HTTP/1.1 200 OK\r\nX: y\r\n\tZ: z\r\n\r\n", true, false},
		{"HTTP/1.1 200 OK\r\n X: y\r\n\r\n", true, false},
		{"HTTP/1.1 200 OK\nX: y\n z\n\n", true, false},
		{"HTTP/1.1 200 OK\r\nX: y\r\n\r\n body\r\n of lines\r\n", false, false},
		{"HTTP/1.1 200 OK\nX: y\n\n body\n of lines\n", false, false},
		{"HTTP/1.1 204 No Content\r\n\r\n rest", false, false},
		{"HTTP/1.0 200 OK\r\nX: y\r\nTransfer-Encoding: chunked\r\n\r\n", false, true},
		{"HTTP/1.0 200 OK\nTRANSFER-encoding:chunked\nX: y\n\n", false, true},
		{"HTTP/1.0 200 OK\r\nTransfer: x\r\nTransfer-Encodings: y\r\nX: Transfer-Encoding: z\r\n\r\nTransfer-Encoding: body\r\n", false, false},
	} {
		for split := range tt.text {
			for _, step := range []int{1, len(tt.text)} {
				s := headScanner{}
				s.scan([]byte(tt.text[:split]))
				for rest := tt.text[split:]; rest != ""; rest = rest[min(step, len(rest)):] {
					s.scan([]byte(rest[:min(step, len(rest))]))
				}
				if s.folded != tt.folded || s.encoded != tt.encoded {
					t.Errorf("%q, split at %d, then %d bytes at a time: folded %t and encoded %t, want %t and %t", tt.text, split, step, s.folded, s.encoded, tt.folded, tt.encoded)
				}
			}
		}
	}
}

// BenchmarkHeadScanner measures the scan of an ordinary head.
func BenchmarkHeadScanner(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nContent-Length: 1200\r\nContent-Type: application/json\r\nRequest-Id: 9c41d07be2a35f68\r\nAge: 12\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n")
	for b.Loop() {
		s := headScanner{}
		s.scan(head)
	}
}
