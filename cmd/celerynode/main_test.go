package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryshelf/internal/script"
)

// TestMain makes the program available to the scripts as the command celerynode.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"celerynode": main})
}

// TestScripts runs nodes with stand-ins for the platform's store and endpoints.
func TestScripts(t *testing.T) { script.Run(t, "testdata") }
