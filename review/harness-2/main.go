// Command rig runs one case of the second review.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// cases returns whether the rule was broken.
var cases = map[string]func(r *rig) bool{
	"unframed": runUnframed,
	"slow":     runSlow,
	"head":     runHead,
	"slashes":  runSlashes,
	"line":     runLine,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// fail ends a case that could not run, from any goroutine.
func (r *rig) fail(format string, args ...any) {
	r.logf("could not run: "+format, args...)
	r.stopAll()
	_ = os.RemoveAll(r.dir)
	os.Exit(2)
}

// run runs a case and returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the
// case could not run.
func run(play func(r *rig) bool, folder string) (status int) {
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r := &rig{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: record}
	r.logf("disruption: %v", r.trouble)
	defer func() {
		failed := recover()
		r.stopAll()
		if failed != nil {
			failure, ok := failed.(couldNotRun)
			if !ok {
				panic(failed)
			}
			r.logf("could not run: %v", failure.error)
			status = 2
		}
		_ = record.Close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println(dir)
		}
		fmt.Println("exit status", status)
	}()
	time.AfterFunc(110*time.Second, func() { r.fail("it takes too long") })
	if play(r) {
		r.logf("RESULT: the rule was broken")
		return 1
	}
	r.logf("RESULT: the rule held")
	return 0
}
