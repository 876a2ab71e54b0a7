package manifest

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// compiledExample returns a manifest whose workspaces have the given numbers of keys.
func compiledExample(keys ...int) Versioned {
	v := Versioned{Version: 7, ApplyID: "r7", Manifest: Manifest{
		RetryBudget: 2, Services: []Service{{Name: "a"}},
		Routes: []Route{{Name: "r", Path: "/<&>/", Service: "a", Timeout: Duration{time.Second}}},
		Limits: Limits{MaxHeaderBytes: 100},
	}}
	for i, n := range keys {
		w := Workspace{Name: fmt.Sprint("w", i), Rate: 1, Burst: 1}
		for k := range n {
			w.Keys = append(w.Keys, Key{Name: fmt.Sprint(k), Digest: DigestOf(fmt.Sprint(i, "/", k))})
		}
		v.Manifest.Workspaces = append(v.Manifest.Workspaces, w)
	}
	return v
}

// TestCompiledManifestKeepsItsContent guards against an encoding that changes a manifest, and
// against keys that are found for another workspace or not at all.
func TestCompiledManifestKeepsItsContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := compiledExample(rapid.SliceOfN(rapid.IntRange(0, 40), 0, 5).Draw(t, "keys")...)
		c, err := Compile(v)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(slices.Clone(c.Encoding()))
		if err != nil {
			t.Fatal(err)
		}
		if again.Checksum() != c.Checksum() || !reflect.DeepEqual(again.Expand(), v) {
			t.Fatalf("got %+v, want %+v", again.Expand(), v)
		}
		for i, w := range v.Manifest.Workspaces {
			for _, k := range w.Keys {
				if owner := again.Owner(k.Digest); owner == nil || owner.Name != w.Name || !again.HasKey(k.Digest) {
					t.Fatalf("key %s of workspace %d belongs to %+v", k.Name, i, owner)
				}
			}
		}
		if again.HasKey(DigestOf("unknown")) || again.Owner(Digest{}) != nil {
			t.Fatal("an unknown key has an owner")
		}
	})
}

// TestCompileRejectsInvalidManifests guards against a manifest that becomes active although it
// breaks a rule.
func TestCompileRejectsInvalidManifests(t *testing.T) {
	v := compiledExample(2, 2)
	v.Manifest.Workspaces[1].Keys[1].Digest = v.Manifest.Workspaces[0].Keys[0].Digest
	var invalid *ValidationError
	if _, err := Compile(v); !errors.As(err, &invalid) || len(invalid.Violations) != 1 || invalid.Violations[0].Path != "/workspaces/1/keys/1/digest" {
		t.Errorf("error %v, want a violation for the second occurrence of a key", err)
	}
	v = compiledExample(2)
	v.Manifest.Workspaces[0].Keys[1].Name = "0"
	if _, err := Compile(v); !errors.As(err, &invalid) {
		t.Errorf("error %v, want a violation for the second key of the same name", err)
	}
}

// TestSummaryIsShort guards against a log line as long as a large manifest in which every entry
// breaks a rule.
func TestSummaryIsShort(t *testing.T) {
	v := compiledExample(0)
	for range 10_000 {
		v.Manifest.Services = append(v.Manifest.Services, Service{})
	}
	_, err := Compile(v)
	if got, want := Summary(err), "manifest:/services/1/name: must not be empty (and 9999 more)"; got != want {
		t.Errorf("got %.200q, want %q", got, want)
	}
	if got := Summary(errEncoding); got != errEncoding.Error() {
		t.Errorf("got %q, want the message of the error", got)
	}
}

// brokenEncodings returns bytes that are no encoding, by what is wrong with them.
func brokenEncodings() map[string][]byte {
	c, err := Compile(compiledExample(2, 3))
	if err != nil {
		panic(err)
	}
	good := c.Encoding()
	other := slices.Clone(good)
	other[0]++
	twice := slices.Clone(good)
	copy(twice[len(twice)-sha256.Size:], twice[len(twice)-2*sha256.Size:])
	length, head := binary.Uvarint(good[1:])
	counts := 1 + head + int(length)
	many := slices.Concat(good[:counts], binary.AppendUvarint(nil, 1<<60), good[counts+1:])
	return map[string][]byte{
		"empty": {}, "only a format": good[:1], "another format": other, "cut document": good[:40], "cut digests": good[:len(good)-1],
		"further bytes": append(slices.Clone(good), 0), "a key twice": twice, "absurd number of keys": many,
		"absurd document": append([]byte{encodingFormat}, binary.AppendUvarint(nil, 1<<62)...),
		"too large":       bytes.Repeat([]byte{encodingFormat}, MaxEncodingBytes+1),
		"keys in the document": func() []byte {
			text := `{"manifest":{"workspaces":[{"name":"w","keys":[{"name":"k","digest":"` + fmt.Sprintf("%064d", 0) + `"}]}]}}`
			return append(append(binary.AppendUvarint([]byte{encodingFormat}, uint64(len(text))), text...), 0)
		}(),
		"invalid document": func() []byte {
			text := `{"manifest":{"retries":-1}}`
			return append(binary.AppendUvarint([]byte{encodingFormat}, uint64(len(text))), text...)
		}(),
	}
}

// TestBrokenEncodingsAreErrors guards against bytes of a peer that end the process or become a
// manifest.
func TestBrokenEncodingsAreErrors(t *testing.T) {
	for name, encoding := range brokenEncodings() {
		if c, err := Decode(encoding); err == nil {
			t.Errorf("%s: decoded as version %d", name, c.Version)
		}
	}
}

// FuzzEncoding decodes arbitrary bytes, which must not panic. What can be decoded must compile to
// the same manifest.
func FuzzEncoding(f *testing.F) {
	for _, encoding := range brokenEncodings() {
		if len(encoding) < 4096 {
			f.Add(encoding)
		}
	}
	c, err := Compile(compiledExample(2, 3))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(c.Encoding())
	f.Fuzz(func(t *testing.T, encoding []byte) {
		c, err := Decode(encoding)
		if err != nil {
			return
		}
		again, err := Compile(c.Expand())
		if err != nil || !reflect.DeepEqual(again.Expand(), c.Expand()) {
			t.Errorf("compiled again: %v", err)
		}
	})
}
