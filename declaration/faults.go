package declaration

import (
	"fmt"
	"strings"
)

// Fault is one defect of the declarations and the place where it was found.
type Fault struct {
	place  string
	line   int
	reason string
}

// NewFault returns a fault at a file and line; line 0 means that the line is not known.
func NewFault(place string, line int, reason string) Fault {
	return Fault{place: place, line: line, reason: reason}
}

// Place returns the file or declaration at fault.
func (f Fault) Place() string { return f.place }

// Line returns the line in the file, or 0.
func (f Fault) Line() int { return f.line }

// Reason returns what is wrong.
func (f Fault) Reason() string { return f.reason }

// String returns the fault as place:line: reason.
func (f Fault) String() string {
	if f.line == 0 {
		return fmt.Sprintf("%s: %s", f.place, f.reason)
	}
	return fmt.Sprintf("%s:%d: %s", f.place, f.line, f.reason)
}

// InvalidError reports every fault that makes a set of declarations unusable.
type InvalidError struct{ faults []Fault }

// NewInvalidError returns an error for the faults, or nil when there are none.
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
