package store

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryshelf/core"
	"celeryshelf/core/member"
	"celeryshelf/core/quota"
)

// oddValues are values that another writer may leave under a key of a node's record.
var oddValues = []string{
	``, `null`, `{}`, `[]`, `7`, `"text"`, "\x00\xff", `{"name":`, `{"name":null}`, `{"name":7}`,
	strings.Repeat("[", 100000), strings.Repeat(`{"a":`, 100000), `{"x":"` + strings.Repeat("a", 1<<20) + `"}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"10.0.0.1:65536","control":"10.0.0.1:1"}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"10.0.0.1:-1","control":"10.0.0.1:1"}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"10.0.0.1:0","control":"10.0.0.1:1"}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"0.0.0.0:1","control":"10.0.0.1:1"}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"[::1]:1","control":"10.0.0.1:1"}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"10.0.0.1:1","control":"10.0.0.1:2","slots":1e999}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"10.0.0.1:1","control":"10.0.0.1:2","slots":1.5}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"10.0.0.1:1","control":"10.0.0.1:2","slots":-1}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"10.0.0.1:1","control":"10.0.0.1:2","inc":18446744073709551616}`,
	`{"name":"NAME","service":"maps","domain":"d","node":"10.0.0.1:1","control":"10.0.0.1:2","inc":18446744073709551615}`,
	`{"name":"live","service":"maps","domain":"d","node":"10.0.0.1:1","control":"10.0.0.1:2","inc":9}`,
	`{"owner":""}`, `{"owner":7}`, `[{"route":"r","hold":-1,"runs":1}]`, `[{"route":"r","hold":1e999}]`, `[null]`,
}

// oddKeys are keys under a layout's prefix that no node writes, or whose value is odd.
var oddKeys = []string{
	"", "member", "member/", "member/x", "member/x/y", "memberx", "quota", "quota/", "quota/1.0/", "quota/1.0/w", "quota/1/w",
	"quota/0.0/w", "quota/-1.-1/w", "quota/1.1/w", "quota/99999999999999999999.0/w", "quota/1.0/" + strings.Repeat("w", 150), "costs", "other/x",
}

// TestOddEntriesAreNotUsed guards against entries of another writer that end the process,
// stop the reading of the others, or are used. Each is logged once.
func TestOddEntriesAreNotUsed(t *testing.T) {
	l := NewLayout("shelf/")
	live := member.Member{
		Name: "live", Service: "maps", Domain: "d0", Incarnation: 1, Revision: 1,
		NodeAddr: netip.MustParseAddrPort("10.0.0.7:1"), ControlAddr: netip.MustParseAddrPort("10.0.0.7:2"),
	}
	self := live
	self.Name, self.NodeAddr, self.ControlAddr = "self", netip.MustParseAddrPort("10.0.0.8:1"), netip.MustParseAddrPort("10.0.0.8:2")
	value, err := json.Marshal(live)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		pairs := []KeyValue{{Key: l.memberKey("live"), Value: value, Revision: 1}}
		entries := map[string]bool{}
		for range rapid.IntRange(1, 8).Draw(t, "entries") {
			key := l.Prefix + rapid.SampledFrom(oddKeys).Draw(t, "key")
			text := rapid.OneOf(rapid.SampledFrom(oddValues), rapid.String()).Draw(t, "value")
			name := strings.TrimPrefix(key, l.memberKey(""))
			pairs = append(pairs, KeyValue{Key: key, Value: []byte(strings.ReplaceAll(text, "NAME", name)), Revision: 2})
			entries[key+text] = true
		}
		warnings := &warningCounter{}
		seen := &eventRecorder{}
		s := NewSession(Config{Client: &claimClient{pairs: pairs}, Layout: l, NodeName: "self", LeaseTTL: time.Second, Logger: warnings, Clock: systemClock{}})
		s.SetSink(seen)
		for range 3 {
			if _, err := s.loadNodeRecords(t.Context()); err != nil {
				t.Fatalf("the records were not read: %v", err)
			}
		}
		if warnings.count > 3*len(entries) {
			t.Errorf("%d warnings about %d entries", warnings.count, len(entries))
		}
		state := core.New(core.Settings{Self: self, RandomSeed: 1, PlannedAdmission: true, ElectWatchers: true})
		now := time.Unix(1000, 0)
		for _, e := range *seen {
			state.Step(now, e)
		}
		for _, p := range pairs[1:] {
			s.reportChange(Change{Key: p.Key, Value: p.Value})
		}
		for _, e := range *seen {
			state.Step(now, e)
			state.Step(now.Add(time.Second), &core.Tick{})
		}
		if peers := state.Status().Peers; len(peers) != 1 || peers[0].Member != live {
			t.Errorf("members are %+v, want only %+v", peers, live)
		}
	})
}

type warningCounter struct{ count int }

func (w *warningCounter) Warn(error) { w.count++ }

// TestOddEntryIsLoggedOnce guards against a log line about the same entry at every read.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	w := &warningCounter{}
	s := NewSession(Config{Layout: NewLayout("shelf/"), NodeName: "self", Logger: w, Clock: systemClock{}})
	s.SetSink(&eventRecorder{})
	for i := range 6 {
		s.reportChange(Change{Key: "shelf/member/x", Value: fmt.Append(nil, "version", i/3)})
	}
	if w.count != 2 {
		t.Errorf("%d lines about two versions of an entry, each read three times", w.count)
	}
}

// TestOddRecordDoesNotBlockAShard guards against a value of another writer under a shard's
// key that leaves the workspace without tokens.
func TestOddRecordDoesNotBlockAShard(t *testing.T) {
	shard := quota.Shard{Workspace: "w", Count: 1}
	for _, odd := range []string{"", "null", "{}", `{"owner":7}`, strings.Repeat("[", 100000)} {
		c := &claimClient{}
		s, seen := newClaimSession(t, c)
		c.pairs = []KeyValue{{Key: s.Layout.shardKey(shard), Value: []byte(odd), Revision: 5}}
		if err := s.claimShards(t.Context(), []*core.ClaimShard{{Shard: shard}}); err != nil {
			t.Fatal(err)
		}
		if !seen.held()[shard] {
			t.Errorf("the shard with the record %.20q was not claimed", odd)
		}
	}
}
