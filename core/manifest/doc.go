// Package manifest defines the operators' declared configuration: workspaces
// with their keys, rates and bursts, services, and routes with their marks.
//
// The package holds types and rules only. How a manifest is written down is the
// business of the packages that carry it.
package manifest
