// Package document reads manifests and settings from JSON files. A document is validated
// against its JSON schema before it is decoded, so that all violations are reported
// together, each with its path.
package document
