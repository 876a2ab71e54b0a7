// Command celeryshelf runs a node and is the command-line client of operators.
package main

import (
	"context"
	"fmt"
	"os"

	"celeryshelf/internal/command"
)

func main() {
	err := command.New(os.Stdout).Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(command.ExitCode(err))
}
