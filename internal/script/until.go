package script

import (
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	untilTimeout      = 20 * time.Second
	untilPollInterval = 50 * time.Millisecond
)

// until repeats a command until it succeeds and its output contains the first argument.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until TEXT COMMAND [ARG...]")
	}
	deadline := time.Now().Add(untilTimeout)
	for {
		err := ts.Exec(args[1], args[2:]...)
		out := ts.ReadFile("stdout") + ts.ReadFile("stderr")
		if err == nil && strings.Contains(out, args[0]) {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("no %q from %v in %s; last output:\n%s", args[0], args[1:], untilTimeout, out)
		}
		time.Sleep(untilPollInterval)
	}
}
