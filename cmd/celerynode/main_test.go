package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryshelf/internal/script"
)

// TestMain lets the scripts run the program as celerynode.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"celerynode": main})
}

// TestScripts runs nodes against stand-ins of the platform.
func TestScripts(t *testing.T) { script.Run(t, "testdata") }
