package manifest

import "strings"

// ValidationError reports all violations in one document.
type ValidationError struct {
	File       string
	Violations []Violation
}

// Error returns one line per violation: file, path and rule.
func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Violations))
	for _, v := range e.Violations {
		lines = append(lines, e.File+":"+v.Path+": "+v.Rule)
	}
	return strings.Join(lines, "\n")
}

// Violation is a broken rule with the location in the document that breaks it.
type Violation struct {
	Path string `json:"path"` // JSON pointer
	Rule string `json:"rule"`
}

// Error returns the path and the rule.
func (v Violation) Error() string { return v.Path + ": " + v.Rule }
