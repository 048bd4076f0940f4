package declaration

import (
	"fmt"
	"strings"
)

// Fault is one mistake in declarations or other input files, and the place where it was found.
//
// The place is a file, a directory or the key of a declaration.
type Fault struct {
	place  string
	line   int
	reason string
}

// NewFault returns a fault with its place, line and reason; line 0 means that the line is not known.
func NewFault(place string, line int, reason string) Fault {
	return Fault{place: place, line: line, reason: reason}
}

// Place returns the file, the directory or the key of the declaration in which the fault was found.
func (f Fault) Place() string { return f.place }

// Line returns the line in the file, or 0 when it is not known.
func (f Fault) Line() int { return f.line }

// Reason returns what is wrong.
func (f Fault) Reason() string { return f.reason }

// String returns the fault as "place:line: reason", without the line when it is not known.
func (f Fault) String() string {
	if f.line == 0 {
		return fmt.Sprintf("%s: %s", f.place, f.reason)
	}
	return fmt.Sprintf("%s:%d: %s", f.place, f.line, f.reason)
}

// InvalidError reports all faults of a set of declarations, which is then not used.
type InvalidError struct{ faults []Fault }

// NewInvalidError returns an *InvalidError with the faults, or nil when there are none.
func NewInvalidError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	return &InvalidError{faults: faults}
}

// Faults returns the faults in the order in which they were found.
func (e *InvalidError) Faults() []Fault { return e.faults }

// Error returns one line for each fault.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}
