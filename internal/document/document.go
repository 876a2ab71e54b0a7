package document

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"celeryshelf/core/manifest"
	"celeryshelf/internal/settings"
)

// MaxSize is the maximum size of a document in bytes. The store does not accept larger
// values.
const MaxSize = 1 << 20

// Kind identifies a type of document, each of which has a JSON schema.
type Kind string

// Kinds of documents.
const (
	Manifest Kind = "manifest"
	Settings Kind = "settings"
)

//go:embed *.schema.json
var schemas embed.FS

// Schema returns the JSON schema for documents of a kind.
func Schema(k Kind) ([]byte, error) {
	b, err := schemas.ReadFile(string(k) + ".schema.json")
	if err != nil {
		return nil, fmt.Errorf("schema %q: %w", k, err)
	}
	return b, nil
}

// Read reads a file and decodes it into out as Decode does.
func Read(file string, k Kind, out any) error {
	info, err := os.Stat(file)
	if err != nil {
		return fmt.Errorf("read %s: %w", k, err)
	}
	if info.Size() > MaxSize {
		return newValidationError(file, fmt.Sprintf("document has %d bytes, the maximum is %d", info.Size(), MaxSize))
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read %s: %w", k, err)
	}
	return Decode(file, data, k, out)
}

// Decode validates a document against the schema of its kind and decodes it into out. The
// file name only appears in errors.
func Decode(file string, data []byte, k Kind, out any) error {
	if len(data) > MaxSize {
		return newValidationError(file, fmt.Sprintf("document has %d bytes, the maximum is %d", len(data), MaxSize))
	}
	instance, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return newValidationError(file, "not valid JSON: "+err.Error())
	}
	schema, err := compileSchema(k)
	if err != nil {
		return err
	}
	if err := schema.Validate(instance); err != nil {
		var invalid *jsonschema.ValidationError
		if errors.As(err, &invalid) {
			return &manifest.ValidationError{File: file, Violations: flattenViolations(invalid)}
		}
		return fmt.Errorf("validate %s: %w", file, err)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return newValidationError(file, err.Error())
	}
	return nil
}

// newValidationError returns an error about the document as a whole.
func newValidationError(file, rule string) error {
	return &manifest.ValidationError{File: file, Violations: []manifest.Violation{{Path: "/", Rule: rule}}}
}

func compileSchema(k Kind) (*jsonschema.Schema, error) {
	text, err := Schema(k)
	if err != nil {
		return nil, err
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return nil, fmt.Errorf("read schema %q: %w", k, err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(string(k), doc); err != nil {
		return nil, fmt.Errorf("add schema %q: %w", k, err)
	}
	s, err := c.Compile(string(k))
	if err != nil {
		return nil, fmt.Errorf("compile schema %q: %w", k, err)
	}
	return s, nil
}

// flattenViolations returns the leaves of a tree of validation errors, sorted by path.
func flattenViolations(e *jsonschema.ValidationError) []manifest.Violation {
	if len(e.Causes) == 0 {
		rule := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		return []manifest.Violation{{Path: "/" + strings.Join(e.InstanceLocation, "/"), Rule: rule}}
	}
	var out []manifest.Violation
	for _, c := range e.Causes {
		out = append(out, flattenViolations(c)...)
	}
	slices.SortStableFunc(out, func(a, b manifest.Violation) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// ReadManifest reads a manifest and validates it against its schema and the rules of
// package manifest.
func ReadManifest(file string) (*manifest.Manifest, error) {
	var m manifest.Manifest
	if err := Read(file, Manifest, &m); err != nil {
		return nil, err
	}
	if violations := m.Validate(); len(violations) > 0 {
		return nil, &manifest.ValidationError{File: file, Violations: violations}
	}
	return &m, nil
}

// ReadSettings reads the settings of a standalone node, fills in defaults and validates
// them against their schema and the rules of package settings.
func ReadSettings(file string) (*settings.Settings, error) {
	s := settings.Defaults()
	if err := Read(file, Settings, &s); err != nil {
		return nil, err
	}
	if violations := s.Validate(); len(violations) > 0 {
		return nil, &manifest.ValidationError{File: file, Violations: violations}
	}
	return &s, nil
}
