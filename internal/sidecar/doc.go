// Package sidecar runs a node on the platform of the users, beside its target.
package sidecar
