// Command celeryshelf runs a node and is the command-line client of operators.
package main

import (
	"context"
	"fmt"
	"os"

	"celeryshelf/internal/command"
	"celeryshelf/platform"
)

func main() {
	err := command.New(command.Config{Output: os.Stdout, Platform: platform.ConfigDecoder{}}).Run(context.Background(), os.Args)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(command.ExitCode(err))
}
