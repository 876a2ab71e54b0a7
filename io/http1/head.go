package http1

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalidField reports a line in the head of a response that is no field of HTTP/1.1.
var ErrInvalidField = errors.New("invalid header field")

// CheckFields returns an error that wraps ErrInvalidField if the name of a field holds a space.
// net/http passes over such a field when it determines where a body ends, and over nothing else:
// it returns an error for every other byte that a name must not have.
func CheckFields(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: space in the name %q", ErrInvalidField, name)
		}
	}
	return nil
}
