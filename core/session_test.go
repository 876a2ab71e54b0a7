package core

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"

	"celeryshelf/core/manifest"
)

// sessionLine is one event of a session file in testdata. A file holds events, one JSON
// object per line, and the effects that the reducer must return for them. UPDATE=1
// rewrites the effects.
type sessionLine struct {
	At    string          `json:"at"` // time since the start of the session
	Event string          `json:"event"`
	With  json.RawMessage `json:"with"`
	Key   string          `json:"key"`   // CallArrived: the API key
	Route string          `json:"route"` // CallArrived: the route that matched the request
}

func newEvent(name string) Event {
	switch name {
	case "CallArrived":
		return &CallArrived{}
	case "AttemptFailed":
		return &AttemptFailed{}
	case "CallFinished":
		return &CallFinished{}
	case "CallCanceled":
		return &CallCanceled{}
	case "Tick":
		return &Tick{}
	case "DrainRequested":
		return &DrainRequested{}
	case "StoreReachability":
		return &StoreReachability{}
	case "LeaseHeld":
		return &LeaseHeld{}
	case "LeaseLost":
		return &LeaseLost{}
	case "ManifestStored":
		return &ManifestStored{}
	case "MemberStored":
		return &MemberStored{}
	case "ClaimDone":
		return &ClaimDone{}
	case "IdempotencyRecordAck":
		return &MessageReceived{Body: &IdempotencyRecordAck{}}
	default:
		return nil
	}
}

func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatalf("no session files in testdata: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) { replay(t, file) })
	}
}

func replay(t *testing.T, file string) {
	archive, err := txtar.ParseFile(file)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for i := range archive.Files {
		f := &archive.Files[i]
		switch f.Name {
		case "events":
			run(t, f.Data, &got)
		case "effects":
			if os.Getenv("UPDATE") != "" {
				f.Data = got.Bytes()
				if err := os.WriteFile(file, txtar.Format(archive), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if !bytes.Equal(f.Data, got.Bytes()) {
				t.Errorf("effects differ; want\n%s\ngot\n%s", f.Data, got.Bytes())
			}
		}
	}
}

func run(t *testing.T, events []byte, out *bytes.Buffer) {
	start := time.Unix(1000, 0).UTC()
	s := New(Settings{Self: testMember(0), RandomSeed: 1})
	for line := range strings.Lines(string(events)) {
		var l sessionLine
		if err := json.Unmarshal([]byte(line), &l); err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		at, err := time.ParseDuration(l.At)
		if err != nil {
			t.Fatal(err)
		}
		e := newEvent(l.Event)
		if e == nil {
			t.Fatalf("unknown event type %q", l.Event)
		}
		e = decodeEvent(t, l, e)
		printEffects(out, l, s.Step(start.Add(at), e), start)
	}
}

func decodeEvent(t *testing.T, l sessionLine, e Event) Event {
	var into any = e
	if r, ok := e.(*MessageReceived); ok {
		r.From, into = "n1", r.Body
	}
	if _, ok := e.(*ManifestStored); ok {
		return decodeManifestEvent(t, l)
	}
	if l.With != nil {
		if err := json.Unmarshal(l.With, into); err != nil {
			t.Fatalf("%s: %v", l.With, err)
		}
	}
	if a, ok := e.(*CallArrived); ok && l.Key != "" {
		a.KeyDigest, a.HasKey = manifest.DigestOf(l.Key), true
	}
	if a, ok := e.(*CallArrived); ok && l.Route != "" {
		a.Route = lookup(l.Route)
	}
	if h, ok := e.(*LeaseHeld); ok {
		h.Until = time.Unix(1000, 0).UTC().Add(time.Minute)
	}
	return e
}

// decodeManifestEvent returns the event with which the store's session reports a manifest.
func decodeManifestEvent(t *testing.T, l sessionLine) Event {
	var stored struct{ Manifest manifest.Versioned }
	if err := json.Unmarshal(l.With, &stored); err != nil {
		t.Fatalf("%s: %v", l.With, err)
	}
	m, err := manifest.Compile(stored.Manifest)
	if err != nil {
		return &ManifestRejected{Version: stored.Manifest.Version, Detail: err.Error()}
	}
	return &ManifestStored{Manifest: m}
}

func printEffects(out *bytes.Buffer, l sessionLine, e *Effects, start time.Time) {
	fmt.Fprintf(out, "%s %s\n", l.At, l.Event)
	for _, v := range e.Verdicts {
		fmt.Fprintf(out, "\tverdict call=%d %s", v.Call, v.Action)
		switch v.Action {
		case ActionRefuse:
			fmt.Fprintf(out, " reason=%s ran=%s retry=%s", v.Reason, v.Executed, v.RetryAfter)
		case ActionRun, ActionForward:
			fmt.Fprintf(out, " endpoint=%s workspace=%q deadline=%s budget=%d once=%t depth=%d", v.Endpoint,
				v.Context.Workspace, v.Deadline.Sub(start), v.Context.RetryBudget, v.Context.AtMostOnce, v.Context.Rank.Depth)
		case ActionSettle:
			fmt.Fprintf(out, " level=%d unspent=%d", v.Level, v.UnspentRetries)
		case ActionReplay:
			fmt.Fprintf(out, " of=%d", v.ReplayOf)
		case ActionDeliver:
		}
		fmt.Fprintln(out)
	}
	for _, m := range e.Envelopes {
		body, _ := json.Marshal(m.Body)
		fmt.Fprintf(out, "\tsend to=%s %s %s\n", m.To, strings.TrimPrefix(fmt.Sprintf("%T", m.Body), "*core."), body)
	}
	for _, r := range e.StoreRequests {
		body, _ := json.Marshal(r)
		fmt.Fprintf(out, "\trequest %s %s\n", strings.TrimPrefix(fmt.Sprintf("%T", r), "*core."), body)
	}
	for _, n := range e.Notices {
		fmt.Fprintf(out, "\tnotice %s peer=%q workspace=%q version=%d\n", n.Kind, n.Peer, n.Shard.Workspace, n.Version)
	}
}
