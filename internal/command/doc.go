// Package command is the operators' command line.
package command
