package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryshelf/core"
	"celeryshelf/core/admit"
)

// TestCallContextRoundTrip guards against call contexts that change in their header,
// such as workspaces with characters that separate the fields.
func TestCallContextRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := core.CallContext{
			Endpoint:  rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "target"),
			Workspace: rapid.String().Draw(t, "workspace"),
			Route:     rapid.StringMatching(`[a-z0-9-]{1,20}`).Draw(t, "route"),
			Rank: admit.Rank{
				Class: rapid.Uint8Range(0, admit.Classes-1).Draw(t, "class"),
				Depth: rapid.Uint8().Draw(t, "depth"),
				Hash:  rapid.Uint16Range(0, admit.HashBuckets-1).Draw(t, "hash"),
			},
			RetryBudget:     rapid.IntRange(0, 8).Draw(t, "budget"),
			Timeout:         time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "timeout")),
			AtMostOnce:      rapid.Bool().Draw(t, "once"),
			IdempotencyHash: rapid.Uint64().Draw(t, "repeat"),
		}
		h := http.Header{}
		SetCallContext(h, want)
		got, err := GetCallContext(h)
		if err != nil || got != want {
			t.Fatalf("got call context %+v, error %v; want %+v", got, err, want)
		}
	})
}

// FuzzPass guards against panics on malformed call contexts, and against contexts that
// are accepted but change when they are encoded again.
func FuzzPass(f *testing.F) {
	f.Add("maps-1", "1.2.3", "2", "1.5s", "ff")
	f.Add("", "1.300.3", "-1", "", "zz")
	f.Add("a%20b", "1.2.3", "2", "1.5s", "ff")
	f.Add("a b", "1.2.3", "2", "1.5s", "ff")
	f.Fuzz(func(t *testing.T, target, rank, budget, timeout, repeat string) {
		fields := []string{target, "", "route", "from", rank, budget, timeout, "1", repeat}
		h := http.Header{headerCallContext: {strings.Join(fields, " ")}}
		p, err := GetCallContext(h)
		if err != nil {
			return
		}
		again := http.Header{}
		SetCallContext(again, p)
		if q, err := GetCallContext(again); err != nil || q != p {
			t.Fatalf("call context %+v encoded and decoded again: got %+v, error %v", p, q, err)
		}
	})
}

// TestInvalidOutcomeIsZero guards against outcomes that take over malformed or
// out-of-range values, and against outcome headers that are forwarded.
func TestInvalidOutcomeIsZero(t *testing.T) {
	for _, tt := range []struct {
		level, unspent string
		want           Outcome
	}{
		{"12", "3", Outcome{Level: 12, UnspentRetries: 3}},
		{"65535", "1", Outcome{Level: admit.MaxLevel, UnspentRetries: 1}},
		{"-1", "x", Outcome{}},
		{"", "", Outcome{}},
	} {
		h := http.Header{headerAdmissionLevel: {tt.level}, headerUnspentRetries: {tt.unspent}}
		if got := ExtractOutcome(h); got != tt.want {
			t.Errorf("level %q, unspent %q: got %+v, want %+v", tt.level, tt.unspent, got, tt.want)
		}
		if len(h) != 0 {
			t.Errorf("headers not removed: %v", h)
		}
	}
}

// TestTargetLoadRoundTrip guards against a cold period that does not reach the sender of a call,
// or that it sees although the target is warm.
func TestTargetLoadRoundTrip(t *testing.T) {
	for _, in := range []core.VerdictInputs{{Load: 0.5}, {Load: 0.25, ColdFor: 2500 * time.Millisecond}} {
		h := http.Header{}
		SetTargetLoad(h, in)
		if got, want := GetTargetLoad(h), (core.TargetLoad{Known: true, Utilization: in.Load, ColdFor: in.ColdFor}); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	if got := GetTargetLoad(http.Header{"Celery-Cold": {"-3"}}); got != (core.TargetLoad{}) {
		t.Errorf("malformed header: got %+v", got)
	}
}
