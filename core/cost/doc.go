// Package cost estimates the service time of calls at a target whose calls look alike but
// differ in their work, and by how much the target is slow at present.
package cost
