package settings

import (
	"strings"
	"testing"
)

const sidecarText = `{"name":"n","service":"s","domain":"d","region":"r",
"listen":{"caller":"127.0.0.1:1","node":"127.0.0.1:2","control":"127.0.0.1:3","heartbeat":"127.0.0.1:4","ready":"127.0.0.1:5","metrics":"127.0.0.1:6"},
"target":"127.0.0.1:7","store":{"address":"127.0.0.1:8","prefix":"p/","lease":"4s"},
"heartbeat":"1.5s","revoke":"5s","drain":"2s","limit":"6s","memory":284,
"retry":{"ratio":0.2,"window":"10s","slack":48},"log":{"level":"info"}}`

// TestWarmupIsOptional guards against settings that are refused because they lack the bound on
// calls to cold targets, and against a bound under which such targets get none.
func TestWarmupIsOptional(t *testing.T) {
	for _, tt := range []struct {
		warmup string
		valid  bool
	}{
		{"", true},
		{`"warmup":{"overshoot":1.5,"slack":8},`, true},
		{`"warmup":{"overshoot":1,"slack":0},`, true},
		{`"warmup":{"overshoot":0.5,"slack":8},`, false},
		{`"warmup":{"overshoot":1.5,"slack":-1},`, false},
		{`"warmup":{"overshoot":1.5,"burst":1},`, false},
	} {
		s, err := DecodeSidecar("f", []byte(strings.Replace(sidecarText, `"log"`, tt.warmup+`"log"`, 1)))
		if valid := err == nil; valid != tt.valid {
			t.Errorf("%q: error %v, want valid: %v", tt.warmup, err, tt.valid)
		}
		if err == nil && (s.Warmup != nil) != (tt.warmup != "") {
			t.Errorf("%q: got %+v", tt.warmup, s.Warmup)
		}
	}
}
