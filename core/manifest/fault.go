package manifest

import "strings"

// FaultsError lists every fault of one document.
type FaultsError struct {
	File   string
	Faults []Fault
}

// Error puts each fault on a line of its own, with file, place and rule.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, e.File+":"+f.Path+": "+f.Rule)
	}
	return strings.Join(lines, "\n")
}

// Fault is one broken rule and the place in the document that breaks it.
type Fault struct {
	Path string // JSON pointer
	Rule string
}

// Error renders the fault as path and rule.
func (f Fault) Error() string { return f.Path + ": " + f.Rule }
