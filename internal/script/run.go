package script

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// Run runs the scripts in a directory. If the environment variable UPDATE is set, the files
// that cmp compares with are updated instead.
func Run(t *testing.T, dir string) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "standin"), "celeryshelf/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build standin: %v\n%s", err, out)
	}
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
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
