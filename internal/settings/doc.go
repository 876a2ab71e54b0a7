// Package settings defines the settings files of a node: Settings for a standalone node
// and Sidecar for a node behind the platform's front end. It holds their defaults and the
// rules that go beyond their syntax.
package settings
