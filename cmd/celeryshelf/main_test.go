package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryshelf/internal/script"
)

// TestMain makes the program available to the scripts as the command celeryshelf.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"celeryshelf": main})
}

// TestScripts runs the end-to-end scripts in testdata.
func TestScripts(t *testing.T) { script.Run(t, "testdata") }
