// Package settings defines a node's settings file and its defaults.
package settings
