package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain lets the scripts run the program as celeryshelf.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"celeryshelf": main})
}

// TestScripts runs whole sessions of the command line, with the stand-ins as
// processes of their own.
func TestScripts(t *testing.T) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "standin"), "../standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build stand-ins: %v\n%s", err, out)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE") != "",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", bin+string(os.PathListSeparator)+e.Getenv("PATH"))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"until": until,
		},
	})
}
