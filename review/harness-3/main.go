// Command review3 runs the cases of the review: it starts nodes as separate processes, with
// stand-ins for the platform, the endpoints and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// program is the node, built by the command of the deploy file.
const program = "target/celerynode"

// trouble is false if the disruption of the case is left out.
var trouble = os.Getenv("TROUBLE") != "0"

var (
	recordMu   sync.Mutex
	recordFile *os.File
	began      = time.Now()
	running    *fleet
)

// record writes a line to the case's record.
func record(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%7.3f "+format+"\n", append([]any{time.Since(began).Seconds()}, args...)...)
}

// cannotRun ends the case because it could not run.
func cannotRun(format string, args ...any) {
	fmt.Printf("cannot run: "+format+"\n", args...)
	finish(exitCannotRun)
}

func finish(code int) {
	if running != nil {
		running.stop()
	}
	os.Exit(code)
}

// judge prints the result, ends all processes and exits.
func judge(broken bool, format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	record("%s", line)
	fmt.Println(line)
	if broken {
		fmt.Println("BROKEN")
		finish(exitBroken)
	}
	fmt.Println("held")
	finish(exitHeld)
}

var cases = map[string]func(){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review3 CASE RECORD-FILE")
		os.Exit(exitCannotRun)
	}
	var err error
	if recordFile, err = os.Create(os.Args[2]); err != nil {
		fmt.Println(err)
		os.Exit(exitCannotRun)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		finish(exitCannotRun)
	}()
	cases[os.Args[1]]()
}
