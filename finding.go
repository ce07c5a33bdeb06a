package briarferry

import (
	"fmt"
	"strings"
)

type (
	// Finding is one fault in an input, with the place where it stands.
	Finding struct {
		Place   string `json:"place"`
		Message string `json:"message"`
	}

	// Findings collects every fault of one input, so that all are reported together.
	Findings []Finding

	// Validator is implemented by domain types that check themselves when decoded.
	Validator interface {
		Validate() Findings
	}
)

// Add appends a finding at the given place.
func (f *Findings) Add(place, format string, args ...any) {
	*f = append(*f, Finding{Place: place, Message: fmt.Sprintf(format, args...)})
}

// Merge appends the findings of a part, with their places below the given one.
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

// Error lists the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.Place + ": " + finding.Message
	}
	return strings.Join(lines, "\n")
}
