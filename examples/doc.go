// Package examples holds two deployments as manifests with the stand-ins that
// play their targets and callers.
package examples

import "embed"

// Files holds a folder for each example with manifest.json and deployment.json.
//
//go:embed */*.json
var Files embed.FS
