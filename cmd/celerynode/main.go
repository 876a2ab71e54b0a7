// Command celerynode runs a node on the users' platform, where the memory of a
// process is dear: it links no more than a node needs.
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

// settingsFileEnv names the settings file where no flag does.
const settingsFileEnv = "CELERYSHELF_NODE_FILE"

const exitInvalidSettings = 2 // the settings are at fault

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
