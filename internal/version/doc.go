// Package version reports the source revision of the running program.
package version
