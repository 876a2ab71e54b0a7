package soak

import (
	"testing"
	"time"

	"celeryshelf/internal/fleet"
)

// TestSeed guards against violations of the guarantees in a short run of one seed with real
// node processes.
func TestSeed(t *testing.T) {
	dir := t.TempDir()
	program, err := fleet.BuildSidecar(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	broken, err := Run(t.Context(), Config{
		Seed: 1, Duration: 6 * time.Second, Nodes: 6, Clients: 6, NodeBinary: program, Dir: dir, Output: t.Output(),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range broken {
		t.Error(b)
	}
}
