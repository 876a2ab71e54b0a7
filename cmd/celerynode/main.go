// Command celerynode runs a node on the users' platform. It links only the packages
// that a node needs, because memory per process is scarce there.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"celeryshelf/internal/settings"
	"celeryshelf/internal/sidecar"
	"celeryshelf/internal/version"
)

// settingsFileEnv is the environment variable with the default of the -settings flag.
const settingsFileEnv = "CELERYSHELF_NODE_FILE"

// exitInvalidSettings is the exit status if the settings file is missing or invalid.
const exitInvalidSettings = 2

func main() {
	file := flag.String("settings", os.Getenv(settingsFileEnv), "settings `FILE`")
	printVersion := flag.Bool("version", false, "print the version and exit")
	flag.Parse()
	if *printVersion {
		fmt.Println("celerynode", version.String())
		return
	}
	s, err := settings.ReadSidecar(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := sidecar.Run(ctx, *s, *file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
