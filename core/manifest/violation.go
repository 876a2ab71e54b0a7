package manifest

import (
	"errors"
	"fmt"
	"strings"
)

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

// Summary returns the message of an error, for a ValidationError that of its first violation and
// the number of the others: a large manifest may have any number of them.
func Summary(err error) string {
	var e *ValidationError
	if !errors.As(err, &e) || len(e.Violations) < 2 {
		return err.Error()
	}
	return fmt.Sprintf("%s:%s (and %d more)", e.File, e.Violations[0].Error(), len(e.Violations)-1)
}

// Violation is a broken rule with the location in the document that breaks it.
type Violation struct {
	Path string `json:"path"` // JSON pointer
	Rule string `json:"rule"`
}

// Error returns the path and the rule.
func (v Violation) Error() string { return v.Path + ": " + v.Rule }
