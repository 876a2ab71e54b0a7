// Package manifest defines the configuration that operators declare: workspaces with
// their keys, rates and bursts, services, and routes with their attributes.
//
// The package holds only types and validation rules. File formats and storage belong
// to the packages that read and write manifests.
package manifest
