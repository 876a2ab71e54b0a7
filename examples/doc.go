// Package examples embeds two example deployments: their manifests and the simulated
// targets and callers.
package examples

import "embed"

// Files has a directory for each example with manifest.json and deployment.json.
//
//go:embed */*.json
var Files embed.FS
