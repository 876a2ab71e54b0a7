// Package operator speaks to operators and their tools over HTTP: status, health,
// metrics and draining.
package operator
