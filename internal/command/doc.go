// Package command implements the subcommands of celeryshelf.
package command
