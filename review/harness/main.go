// Command harness runs one case of the review: it starts celerynode processes on loopback
// addresses between stand-ins for the platform's store, endpoints and clients, and exits
// with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// runLimit ends a case that takes too long.
const runLimit = 115 * time.Second

var cases = map[string]func(*world) bool{
	"early": earlyAnswer,
	"leave": restartForgetsLeaving,
	"start": unknownRouteAfterStart,
	"gone":  queuedAfterClientLeft,
	"full":  fullOfConnections,
}

func main() {
	runtime.LockOSThread() // the processes that it starts end with this thread
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE")
		os.Exit(2)
	}
	time.AfterFunc(runLimit, func() { unable("it takes longer than %s", runLimit) })
	w := newWorld()
	broken := cases[os.Args[1]](w)
	w.stop()
	if broken {
		os.Exit(1)
	}
}
