// Package sidecar puts a node together that lives on the users' platform.
package sidecar
