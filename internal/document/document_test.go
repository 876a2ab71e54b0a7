package document

import (
	"errors"
	"testing"

	"celeryshelf/core/manifest"
)

// TestDecodeRejectsOversizedDocument guards against documents that are accepted here and
// then rejected by the store for their size.
func TestDecodeRejectsOversizedDocument(t *testing.T) {
	var m manifest.Manifest
	err := Decode("big.json", make([]byte, MaxSize+1), Manifest, &m)
	var invalid *manifest.ValidationError
	if !errors.As(err, &invalid) {
		t.Fatalf("Decode of %d bytes: got error %v, want a *manifest.ValidationError", MaxSize+1, err)
	}
}

// FuzzDecode guards against panics in decoding and in the validation of manifests that
// pass the schema.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"workspaces":[],"services":[{"name":"s"}],"routes":[{"name":"r","method":"GET","path":"/","service":"s","timeout":"1s"}]}`))
	f.Add([]byte(`{"workspaces":[{"name":"w","rate":1e300,"burst":1,"keys":null}],"services":[],"routes":[]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m manifest.Manifest
		if err := Decode("fuzz.json", data, Manifest, &m); err != nil {
			return
		}
		m.Validate()
	})
}
