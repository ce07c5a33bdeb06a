package briarferry

import (
	"fmt"
	"strings"
)

type (
	// Finding is a validation error. Place is the path of the invalid field.
	Finding struct {
		Place   string `json:"place"`
		Message string `json:"message"`
	}

	// Findings collects the validation errors of an input, so that all of them are
	// reported together.
	Findings []Finding

	// Validator is implemented by types that are validated when they are decoded.
	Validator interface {
		Validate() Findings
	}
)

// Add appends a finding for the field at the given path.
func (f *Findings) Add(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Merge appends the findings of a part of the input. Their paths are prefixed with the
// path of the part.
func (f *Findings) Merge(place string, part Findings) {
	for _, p := range part {
		p.Place = place + "." + p.Place
		*f = append(*f, p)
	}
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Place + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}
