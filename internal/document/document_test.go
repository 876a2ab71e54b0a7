package document

import (
	"errors"
	"testing"

	"celeryshelf/core/manifest"
)

func TestDecodeRejectsOversizedDocument(t *testing.T) {
	var m manifest.Manifest
	err := Decode("big.json", make([]byte, MaxSize+1), Manifest, &m)
	var faults *manifest.ValidationError
	if !errors.As(err, &faults) {
		t.Fatalf("got %v, want a FaultsError", err)
	}
}

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
