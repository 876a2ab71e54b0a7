// Package version names the build.
package version
