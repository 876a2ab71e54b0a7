// Package check examines a manifest before it is sent: it warns of entries that can never
// match and of limits that contradict each other, and lists what differs from the version in
// force and whose calls that refuses. What makes a manifest invalid is found by package
// manifest.
package check
