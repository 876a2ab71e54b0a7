package manifest

import "strings"

// ValidationError lists every fault of one document.
type ValidationError struct {
	File       string
	Violations []Violation
}

// Error puts each fault on a line of its own, with file, place and rule.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, f := range e.Violations {
		lines = append(lines, e.File+":"+f.Path+": "+f.Rule)
	}
	return strings.Join(lines, "\n")
}

// Violation is one broken rule and the place in the document that breaks it.
type Violation struct {
	Path string // JSON pointer
	Rule string
}

// Error renders the fault as path and rule.
func (f Violation) Error() string { return f.Path + ": " + f.Rule }
