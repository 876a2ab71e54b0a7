package script

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"celeryshelf/internal/loopback"
)

// networkVariable names the variable that holds the first two octets of the run's loopback
// addresses, in commands and in the files of a script.
const networkVariable = "NET"

// Run runs the scripts in a directory. If the environment variable UPDATE is set, the files
// that cmp compares with are updated instead.
func Run(t *testing.T, dir string) {
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", filepath.Join(bin, "standin"), "celeryshelf/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build standin: %v\n%s", err, out)
	}
	network, err := loopback.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = network.Release() })
	testscript.Run(t, testscript.Params{
		Dir:                 dir,
		RequireExplicitExec: true,
		UpdateScripts:       os.Getenv("UPDATE") != "",
		Setup: func(e *testscript.Env) error {
			e.Setenv("PATH", bin+string(os.PathListSeparator)+e.Getenv("PATH"))
			e.Setenv(networkVariable, network.Prefix())
			return expandNetwork(e.WorkDir, network.Prefix())
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"until": until,
		},
	})
}

// expandNetwork replaces the variable in all files of a script.
func expandNetwork(dir, prefix string) error {
	files, err := os.ReadDir(dir)
	if err != nil {
		return fmt.Errorf("list files of the script: %w", err)
	}
	for _, f := range files {
		if !f.Type().IsRegular() {
			continue
		}
		name := filepath.Join(dir, f.Name())
		text, err := os.ReadFile(name)
		if err != nil {
			return fmt.Errorf("read file of the script: %w", err)
		}
		expanded := strings.ReplaceAll(string(text), "$"+networkVariable, prefix)
		if err := os.WriteFile(name, []byte(expanded), 0o600); err != nil {
			return fmt.Errorf("write file of the script: %w", err)
		}
	}
	return nil
}
