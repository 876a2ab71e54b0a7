package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryshelf/internal/script"
)

// TestMain lets the scripts run the program as celeryshelf.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"celeryshelf": main})
}

// TestScripts runs whole sessions of the command line.
func TestScripts(t *testing.T) { script.Run(t, "testdata") }
